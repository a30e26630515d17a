export type {BodyResult} from './body-budget.js';
export type {HttpServer, HttpServerOptions} from './http-server.js';
export {createHttpServer} from './http-server.js';
export type {HttpServerLimits} from './limits.js';
export {defaultHttpServerLimits, HttpLimit} from './limits.js';
export {createLimitReporter} from './limit-reporter.js';
