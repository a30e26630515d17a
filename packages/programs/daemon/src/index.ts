export * from './peer-exchange.js';
export * from './operations-server.js';
