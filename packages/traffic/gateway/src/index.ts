export * from './gateway.js';
export * from './ports.js';
export {createSilentTelemetry} from './trace-context.js';
