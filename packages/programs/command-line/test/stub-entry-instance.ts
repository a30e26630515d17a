/** Entry instance with fixed responses, on a free loopback port. */
import {createServer} from 'node:http';
import {parseDocument} from '@turmericbay/document';
import type {DocumentEnvelope} from '@turmericbay/document';
import type {SubmitOutcome} from '@turmericbay/document-watch';
import {createOperatorService} from '@turmericbay/operator-service';
import type {OperatorServiceOptions} from '@turmericbay/operator-service';
import {createOperatorHandler} from '@turmericbay/peer-protocol';
import {err, ok} from 'neverthrow';

export const operatorToken = 'operator-token-0123456789';

const key = {id: 'abcdef01', salt: '00'.repeat(16), hash: '11'.repeat(32)};

export const documentText = JSON.stringify({
	schemaVersion: 1,
	pools: {wash: {kind: 'upstream', maximumUnavailable: 3}},
	teams: {booking: {share: 2, limit: 10, keys: [key]}, pricing: {share: 1, limit: 5}},
	queues: {pickups: {pool: 'wash', teams: ['booking']}, quotes: {pool: 'wash', teams: ['pricing']}},
});

const envelope: DocumentEnvelope = {
	version: 4, changeId: 'change-4', author: 'anna', submittedAt: '2026-12-04T05:00:00.000Z', document: parseDocument({text: documentText})._unsafeUnwrap(),
};

/** Outcomes of submits, selected by the author. */
const outcomes = new Map<string, SubmitOutcome>([
	['accepted', {
		type: 'accepted', version: 5, confirmed: ['entry-a1', 'entry-a2'], unconfirmed: ['entry-b1'],
	}],
	['conflict', {type: 'conflict', version: 6, message: 'version 6 is in force, the change was reviewed against version 4'}],
	['not-applied', {type: 'not-applied', message: 'the platform did not take the change (connection refused)'}],
	['unknown', {type: 'outcome-unknown', message: 'the platform\'s answer was lost (timeout)'}],
	['invalid', {type: 'invalid', faults: [{path: 'queues.quotes.pool', message: 'there is no pool press'}, {path: 'surplus', message: 'no such field'}]}],
]);

const findOutcome = async ({author}: {readonly author: string}): Promise<SubmitOutcome> => outcomes.get(author) ?? {type: 'not-applied', message: `no outcome ${author}`};

const documentWatch: OperatorServiceOptions['documentWatch'] = {
	current: () => envelope,
	currentJson: () => JSON.stringify(envelope),
	submitDocument: findOutcome,
	withdrawDocument: findOutcome,
	listHistory: async () => ok([
		{
			version: 3, changeId: 'change-3', author: 'berta', submittedAt: '2026-12-03T05:00:00.000Z',
		},
		{
			version: 4, changeId: 'change-4', author: 'anna', submittedAt: '2026-12-04T05:00:00.000Z',
		},
	]),
	readVersion: async ({version}) => err({code: 'VERSION_NOT_FOUND', message: `version ${version} is not in the history`}),
	status: () => ({
		version: 4, confirmationAgeMilliseconds: 400, platformReachable: true, fault: 'document.schemaVersion: this program reads schemaVersion 1, the document has 2', pendingChanges: [],
	}),
};

const statusSource: OperatorServiceOptions['statusSource'] = {
	entryInstances: () => [
		{
			instance: 'entry-a1', zone: 'zone-a', reachable: true, documentVersion: 4, platformReachable: true, confirmationAgeMilliseconds: 400.2,
		},
		{
			instance: 'entry-b1', zone: 'zone-b', reachable: false, documentVersion: 3, platformReachable: false,
		},
	],
	pools: () => [{
		pool: 'wash', instances: 3, available: 2, inFlight: 11, queued: 4,
	}],
	teams: () => [
		{
			team: 'booking', share: 2, limit: 10, granted: 9, running: 7, queued: 4,
		},
		{
			team: 'pricing', share: 1, limit: 5, granted: 5, running: 4, queued: 0,
		},
	],
	refresh: async () => undefined,
	maintenance: () => ({
		steps: [{instance: 'wash-1', pool: 'wash', phase: 'draining'}], failedInstances: ['wash-3'], done: 1, remaining: 2, estimatedSeconds: 840, blockedReason: 'pool wash has no budget left',
	}),
};

export const startStubEntryInstance = async () => {
	const server = createServer(createOperatorHandler({implementation: createOperatorService({documentWatch, statusSource}), token: operatorToken}));
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {
		address: typeof address === 'object' && address !== null ? `http://127.0.0.1:${address.port}` : '',
		stop() {
			server.closeAllConnections();
			server.close();
		},
	};
};
