export * from './gateway.js';
export * from './ports.js';
export {createSilentTelemetry, formatTraceparent, parseTraceparent} from './trace-context.js';
