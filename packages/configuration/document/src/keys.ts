/**
 * Team keys (API keys). A key is `tbk_<id>_<secret>`; the document contains the
 * id, a salt and the SHA-256 hash of salt and secret. A single SHA-256 hash is
 * enough because the secret is 32 random bytes, not a guessable password.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import type {TeamName} from '@turmericbay/types';
import type {ConfigurationDocument, KeyDeclaration} from './schema.js';

const identifierBytes = 8;
const saltBytes = 16;
const secretBytes = 32;
const hashBytes = 32;
/** Longer keys are rejected before they are hashed. */
const maximumKeyCharacters = 200;

export type TeamKey = {
	/** The complete key including the secret; shown once and stored nowhere. */
	readonly presentedKey: string;
	/** Entry for the team's `keys` in the document. */
	readonly declaration: KeyDeclaration;
};

/** Returns the team of a presented key, or undefined if the key is not valid. */
export type KeyAuthenticator = (presentedKey: string) => {readonly team: TeamName} | undefined;

type StoredKey = {
	readonly team: TeamName;
	readonly salt: Uint8Array;
	readonly hash: Uint8Array;
};

const hashSecret = (salt: Uint8Array, secret: string): Uint8Array => createHash('sha256').update(salt).update(secret).digest();

/** Creates a key; tests pass a deterministic `random`. */
export const createTeamKey = (options: {readonly random?: (bytes: number) => Uint8Array} = {}): TeamKey => {
	const {random = randomBytes} = options;
	const id = Buffer.from(random(identifierBytes)).toString('hex');
	const salt = Buffer.from(random(saltBytes));
	const secret = Buffer.from(random(secretBytes)).toString('base64url');
	return {
		presentedKey: `tbk_${id}_${secret}`,
		declaration: {id, salt: salt.toString('hex'), hash: Buffer.from(hashSecret(salt, secret)).toString('hex')},
	};
};

/** Compared against when the id is unknown, so that the response time does not reveal which ids exist. */
const createDummyKey = (): StoredKey => ({team: '', salt: randomBytes(saltBytes), hash: randomBytes(hashBytes)});

/** Indexes the keys once, so the document must not be changed afterwards. */
export const createKeyAuthenticator = (document: Pick<ConfigurationDocument, 'teams'>): KeyAuthenticator => {
	const dummyKey = createDummyKey();
	const keys = new Map(Object.entries(document.teams).flatMap(([team, declaration]) => declaration.keys.map(({id, salt, hash}): [string, StoredKey] => [
		id, {team, salt: Buffer.from(salt, 'hex'), hash: Buffer.from(hash, 'hex')},
	])));
	return presentedKey => {
		const match = presentedKey.length > maximumKeyCharacters ? undefined : /^tbk_(?<id>[\da-z]{8,32})_(?<secret>[\w\-]+)$/v.exec(presentedKey);
		if (!match?.groups) {
			return undefined;
		}

		const stored = keys.get(match.groups.id ?? '');
		const {team, salt, hash} = stored ?? dummyKey;
		const isEqual = timingSafeEqual(hash, hashSecret(salt, match.groups.secret ?? ''));
		return isEqual && stored !== undefined ? {team} : undefined;
	};
};
