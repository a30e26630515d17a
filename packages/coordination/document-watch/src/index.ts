export {createDocumentWatch} from './document-watch.js';
export type {DocumentWatch, DocumentWatchOptions, SubmitRequest} from './document-watch.js';
export {Adoption, decideAdoption} from './adoption.js';
export {findOutageConfirmationTime, findPeerConfirmationTime} from './confirmation.js';
export {createDocumentState} from './state.js';
export {chooseWatchers} from './watchers.js';
export type {HistoryEntry, HistoryError} from './history.js';
export type * from './ports.js';
