export {createOperatorService} from './operator-service.js';
export type {OperatorServiceOptions} from './operator-service.js';
export type * from './status-source.js';
