import {
	Code, ConnectError, createClient, createRouterTransport,
} from '@connectrpc/connect';
import test from 'ava';
import type {HistoryError} from '@turmericbay/document-watch';
import {operatorMessages} from '@turmericbay/peer-protocol';
import {err} from 'neverthrow';
import {createOperatorService} from '../src/index.js';

const createFailingClient = (error: HistoryError) => {
	const implementation = createOperatorService({
		documentWatch: {
			current: () => undefined,
			currentJson: () => '',
			submitDocument: async () => ({type: 'outcome-unknown', message: 'lost'}),
			withdrawDocument: async () => ({type: 'not-applied', message: 'down'}),
			listHistory: async () => err(error),
			readVersion: async () => err(error),
			status: () => ({
				version: 0, confirmationAgeMilliseconds: undefined, platformReachable: false, fault: '', pendingChanges: [],
			}),
		},
		statusSource: {
			entryInstances: () => [],
			pools: () => [],
			teams: () => [],
			refresh: async () => undefined,
			maintenance: () => ({
				steps: [], failedInstances: [], done: 0, remaining: 0, blockedReason: '',
			}),
		},
	});
	return createClient(operatorMessages.OperatorService, createRouterTransport(router => {
		router.service(operatorMessages.OperatorService, implementation);
	}));
};

// Guards against reporting a failure of the platform as a missing version, or a missing version as a failure.
test('history errors are mapped to their status codes', async t => {
	const cases: ReadonlyArray<readonly [HistoryError['code'], Code]> = [
		['HISTORY_UNAVAILABLE', Code.Unavailable],
		['VERSION_NOT_FOUND', Code.NotFound],
		['VERSION_UNREADABLE', Code.FailedPrecondition],
	];
	const errorPairs = await Promise.all(cases.map(async ([code]) => {
		const client = createFailingClient({code, message: code});
		return Promise.all([t.throwsAsync(client.showDocument({version: 3n})), t.throwsAsync(client.listHistory({}))]);
	}));
	t.deepEqual(
		errorPairs.map(errors => errors.map(error => ConnectError.from(error).code)),
		cases.map(([, expected]) => [expected, expected]),
	);
});

// Guards against calls that fail on an instance without a document, and against outcomes that are mapped to another verdict.
test('an instance without a document handles all calls', async t => {
	const client = createFailingClient({code: 'HISTORY_UNAVAILABLE', message: 'down'});
	const missing = await t.throwsAsync(client.showDocument({}));
	t.is(ConnectError.from(missing).code, Code.NotFound);
	const review = await client.reviewDocument({documentJson: '{"schemaVersion":1,"pools":{},"teams":{},"queues":{}}'});
	t.deepEqual([review.currentVersion, review.faults, review.changes], [0n, [], []]);
	const submitted = await client.submitDocument({documentJson: '{}', changeId: 'change-1'});
	const withdrawn = await client.withdrawDocument({changeId: 'change-2'});
	t.deepEqual([submitted.verdict, withdrawn.verdict], [operatorMessages.SubmitVerdict.OUTCOME_UNKNOWN, operatorMessages.SubmitVerdict.NOT_APPLIED]);
	const status = await client.getStatus({});
	t.deepEqual([status.entryInstances, status.documentFault], [[], '']);
});
