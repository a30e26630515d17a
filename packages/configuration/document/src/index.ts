export * from './schema.js';
export {createKeyAuthenticator, createTeamKey} from './keys.js';
export {
	findCrossReferenceFaults, formatDocumentFaults, maximumDocumentBytes, parseDocument, parseEnvelope,
} from './parse.js';
export type * from './ports.js';
export type {DocumentFault} from './faults.js';
export type {KeyAuthenticator, TeamKey} from './keys.js';
