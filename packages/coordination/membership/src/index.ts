/**
 * Who is there: the instance directory with proof that a process is gone, the
 * session of this process under a lease, and rendezvous hashing over instances.
 */
export {createInstanceDirectory, OfferRefusal} from './directory.js';
export type {WritableInstanceDirectory, OfferOutcome} from './directory.js';
export {createSession, sessionKey, sessionsPrefix} from './session.js';
export type {Session, SessionRecord, SessionView} from './session.js';
export {parseSession} from './session.js';
export {hashText, rankByRendezvous} from './rendezvous.js';
