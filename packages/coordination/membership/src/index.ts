/**
 * Group membership: the instance directory, which tells which processes have
 * ended, the leased session of this process, and rendezvous hashing.
 */
export {createInstanceDirectory, OfferRefusal} from './directory.js';
export type {WritableInstanceDirectory, OfferOutcome} from './directory.js';
export {createSession, sessionKey, sessionsPrefix} from './session.js';
export type {Session, SessionRecord, SessionView} from './session.js';
export {parseSession} from './session.js';
export {hashText, rankByRendezvous} from './rendezvous.js';
