import test from 'ava';
import {documentSchema} from '@turmericbay/document';
import {ProblemCode} from '@turmericbay/types';
import {authorize, checkAdmission} from '../src/index.js';
import type {KeyCheckResult, QueueState} from '../src/index.js';

const document = documentSchema.parse({
	schemaVersion: 1,
	pools: {pricing: {kind: 'upstream'}},
	teams: {rugs: {share: 3, limit: 4}, gourds: {share: 1, limit: 4}},
	queues: {
		quotes: {pool: 'pricing', teams: ['rugs']},
		anyone: {pool: 'pricing'},
		patient: {pool: 'pricing', whenUnconfirmed: {action: 'serve', seconds: 30}},
		open: {pool: 'pricing', access: 'open'},
	},
});

const rugs: KeyCheckResult = {type: 'accepted', team: 'rugs'};
const gourds: KeyCheckResult = {type: 'accepted', team: 'gourds'};
const withdrawn: KeyCheckResult = {type: 'accepted', team: 'withdrawn'};

const cases: ReadonlyArray<[string, KeyCheckResult, number | undefined, ProblemCode | 'allowed']> = [
	['quotes', rugs, 0, 'allowed'],
	['quotes', rugs, 5000, 'allowed'],
	['quotes', rugs, 5001, ProblemCode.ConfigurationUnconfirmed],
	['quotes', rugs, undefined, ProblemCode.ConfigurationUnconfirmed],
	['quotes', gourds, 0, ProblemCode.TeamNotAllowed],
	['quotes', withdrawn, 0, ProblemCode.KeyRejected],
	['quotes', {type: 'missing'}, 0, ProblemCode.KeyMissing],
	['quotes', {type: 'rejected'}, 0, ProblemCode.KeyRejected],
	['anyone', gourds, 0, 'allowed'],
	['patient', rugs, 35_000, 'allowed'],
	['patient', rugs, 35_001, ProblemCode.ConfigurationUnconfirmed],
	['patient', rugs, undefined, ProblemCode.ConfigurationUnconfirmed],
	['open', {type: 'missing'}, undefined, 'allowed'],
	['open', {type: 'rejected'}, 1e9, 'allowed'],
	['absent', rugs, 0, ProblemCode.QueueUnknown],
	['constructor', rugs, 0, ProblemCode.QueueUnknown],
];

// Guards against accepting requests whose key or configuration is not confirmed, and against refusing requests to open queues.
for (const [queueName, keyCheck, confirmationAgeMilliseconds, expected] of cases) {
	const keyTitle = keyCheck.type === 'accepted' ? `accepted for ${keyCheck.team}` : keyCheck.type;
	const confirmationTitle = confirmationAgeMilliseconds === undefined ? 'never confirmed' : `confirmed ${confirmationAgeMilliseconds} ms ago`;
	test(`queue ${queueName}, key ${keyTitle}, ${confirmationTitle}: ${expected}`, t => {
		const decision = authorize({
			document, queueName, keyCheck, confirmationAgeMilliseconds,
		});
		t.is(decision.type === 'allowed' ? 'allowed' : decision.problem.code, expected);
	});
}

const idleState: QueueState = {
	queueLength: 0, maximumQueued: 10, entriesAhead: 0, concurrency: 8, freeSlots: 0, runTime: {meanMilliseconds: 100, likelyMaximumMilliseconds: 100}, remainingMilliseconds: 150,
};

const arrivals: ReadonlyArray<[string, Partial<QueueState>, ProblemCode | undefined]> = [
	['the queue is empty', {}, undefined],
	['the queue is full', {queueLength: 10}, ProblemCode.QueueFull],
	['the expected wait is just short enough', {entriesAhead: 3}, undefined],
	['the expected wait is too long', {entriesAhead: 4}, ProblemCode.DeadlineTooShort],
	['free slots shorten the wait', {entriesAhead: 4, freeSlots: 1}, undefined],
	['no run has been measured', {entriesAhead: 9, runTime: undefined}, undefined],
	['a request that need not wait may have too little time', {entriesAhead: 0, freeSlots: 1, remainingMilliseconds: 90}, undefined],
	['the deadline has passed', {remainingMilliseconds: 0}, ProblemCode.DeadlineExceeded],
	['the team is at its limit and its runs end too late', {teamAtLimit: {running: 2, queued: 3}}, ProblemCode.TeamAtLimit],
	['other entry instances hold all units of the team', {teamAtLimit: {running: 0, queued: 5}}, undefined],
];

// Guards against accepting requests that would expire in the queue.
for (const [name, changes, expected] of arrivals) {
	test(`on arrival, ${name}: ${expected ?? 'accepted'}`, t => {
		t.is(checkAdmission({...idleState, ...changes})?.code, expected);
	});
}
