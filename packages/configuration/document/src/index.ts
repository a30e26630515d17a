export * from './schema.js';
export {createKeyAuthenticator, createTeamKey} from './keys.js';
export {
	ChangeKind, diffDocuments, DocumentSection, formatDocumentChange,
} from './diff.js';
export {
	findCrossReferenceFaults, formatDocumentFaults, maximumDocumentBytes, parseDocument, parseEnvelope,
} from './parse.js';
export {reviewDocument} from './review.js';
export type * from './ports.js';
export type {DocumentChange, FieldChange} from './diff.js';
export type {DocumentFault} from './faults.js';
export type {KeyAuthenticator, TeamKey} from './keys.js';
export type {DocumentReview, ObservedFleet} from './review.js';
