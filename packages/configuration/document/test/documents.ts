import {Buffer} from 'node:buffer';
import {createTeamKey} from '../src/index.js';
import type {KeyDeclaration} from '../src/index.js';

/** Creates a key whose bytes all equal the seed. */
export const createSeededKey = (seed: number) => createTeamKey({random: bytes => Buffer.alloc(bytes, seed)});

export const createKeyDeclaration = (seed: number): KeyDeclaration => createSeededKey(seed).declaration;

export const smallDocument = {
	schemaVersion: 1,
	pools: {wash: {kind: 'upstream'}},
	teams: {booking: {share: 1, limit: 10}},
	queues: {pickups: {pool: 'wash'}},
};
