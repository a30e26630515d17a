/** Store keys of the document. */
import type {DocumentVersion} from '@turmericbay/types';

export const documentPrefix = '/turmericbay/document/';
export const currentKey = `${documentPrefix}current`;
export const historyPrefix = `${documentPrefix}history/`;

const versionDigits = 12;

/** Versions are zero-padded so that keys sort in the order of their versions. */
export const historyKey = (version: DocumentVersion): string => `${historyPrefix}${String(version).padStart(versionDigits, '0')}`;
