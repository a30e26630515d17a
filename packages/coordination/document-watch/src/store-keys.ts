/** Where the platform holds the document. */
import type {DocumentVersion} from '@turmericbay/types';

export const documentPrefix = '/turmericbay/document/';
export const currentKey = `${documentPrefix}current`;
export const historyPrefix = `${documentPrefix}history/`;

const versionDigits = 12;

/** Versions are padded so that the order of the keys is the order of the versions. */
export const historyKey = (version: DocumentVersion): string => `${historyPrefix}${String(version).padStart(versionDigits, '0')}`;
