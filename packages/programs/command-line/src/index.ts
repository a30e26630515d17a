export {commands} from './commands.js';
export {ExitCode} from './outcome.js';
export type {CommandOutcome, Failure, Success} from './outcome.js';
