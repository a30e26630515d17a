import {isDeepStrictEqual} from 'node:util';
import test from 'ava';
import fc from 'fast-check';
import {diffDocuments, parseDocument, reviewDocument} from '../src/index.js';
import type {ConfigurationDocument} from '../src/index.js';
import {createKeyDeclaration} from './documents.js';

const parse = (value: unknown): ConfigurationDocument => parseDocument({text: JSON.stringify(value)})._unsafeUnwrap();

const before = parse({
	schemaVersion: 1,
	pools: {wash: {kind: 'upstream'}, press: {kind: 'upstream', minimumInstances: 4}, attic: {kind: 'worker'}},
	teams: {
		booking: {share: 2, limit: 10, keys: [createKeyDeclaration(1), createKeyDeclaration(2)]},
		pricing: {share: 1, limit: 5, keys: [createKeyDeclaration(3)]},
		archive: {share: 1, limit: 5, keys: [createKeyDeclaration(4)]},
	},
	queues: {pickups: {pool: 'wash'}, quotes: {pool: 'press', teams: ['pricing']}, old: {pool: 'attic'}},
});

const after = parse({
	schemaVersion: 1,
	pools: {wash: {kind: 'upstream', maximumUnavailable: 3}, press: {kind: 'upstream', minimumInstances: 4}},
	teams: {
		booking: {share: 2, limit: 4, keys: [createKeyDeclaration(1), {...createKeyDeclaration(2), hash: 'f'.repeat(64)}]},
		pricing: {share: 1, limit: 0},
		collections: {share: 1, limit: 5},
	},
	queues: {
		pickups: {pool: 'wash', access: 'open', whenUnconfirmed: {action: 'serve', seconds: 60}},
		quotes: {pool: 'press', teams: ['pricing']},
		plans: {pool: 'wash', teams: ['booking', 'collections']},
	},
	policy: {weights: {moves: 3}},
});

const observed = {
	runningByTeam: new Map([['booking', 7], ['archive', 2]]),
	instancesByPool: new Map([['wash', 3], ['press', 2], ['attic', 1]]),
};

// Guards against changes or likely mistakes that are missing from a review, and against key hashes in it.
test('a review lists every change and warning', t => {
	const review = reviewDocument({current: before, next: after, observed});
	t.snapshot(review);
	t.notRegex(JSON.stringify(review), /[\da-f]{32}/v);
});

// Guards against a review that fails or shows modifications while there is no document yet.
test('a review of the first document shows only additions', t => {
	t.snapshot(reviewDocument({current: undefined, next: before, observed: {runningByTeam: new Map(), instancesByPool: new Map()}}));
});

const names = fc.constantFrom('wash', 'press', 'constructor');
const documents = fc.record({
	limits: fc.dictionary(names, fc.nat({max: 3}), {noNullPrototype: true}),
	pools: fc.dictionary(names, fc.nat({max: 3}), {noNullPrototype: true}),
}).map(({limits, pools}) => parse({
	schemaVersion: 1,
	pools: Object.fromEntries(Object.entries(pools).map(([name, maximumUnavailable]) => [name, {kind: 'upstream', maximumUnavailable}])),
	teams: Object.fromEntries(Object.entries(limits).map(([name, limit]) => [name, {share: 1, limit}])),
	queues: {},
}));

// Guards against differences that are missed, reported for equal documents or found in one direction only.
test('a difference is empty exactly for equal documents and is symmetric', t => {
	t.notThrows(() => {
		fc.assert(fc.property(documents, documents, (from, to) => {
			const forward = diffDocuments({from, to});
			const backward = diffDocuments({from: to, to: from});
			return (forward.length === 0) === isDeepStrictEqual(from, to) && forward.length === backward.length;
		}), {seed: 20_261_204, numRuns: 300});
	});
});
