export * from './gateway.js';
export * from './ports.js';
export {createNoopTelemetry, formatTraceparent, parseTraceparent} from './trace-context.js';
