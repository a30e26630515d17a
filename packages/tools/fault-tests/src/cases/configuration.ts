/** Guarantees 3 and 10: keys and configuration changes. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {ResponseClass, sendRequest, waitUntil} from '@turmericbay/demo';
import type {EntryProcess, Fleet} from '@turmericbay/demo';
import {operatorMessages} from '@turmericbay/peer-protocol';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {
	createDocument, presentedKeys, Queue, standardPlan, Team,
} from '../setup.js';

const verdicts = operatorMessages.SubmitVerdict;
/** Bounds of the design page, in milliseconds. */
const inForceBound = 7000;
const cutOffBound = 5000;

/** The first document plus a team; each name gives another document. */
const documentWith = (teamName: string): unknown => createDocument({teams: {[teamName]: {share: 1, limit: 1}}});
const documentWithoutBookingKey = createDocument({teams: {[Team.Booking]: {share: 2, limit: 200, keys: []}}});

const submitAt = async (fleet: Fleet, entry: EntryProcess, document: unknown, changeId = randomUUID()) => fleet.createOperatorClient(entry).submitDocument({
	documentJson: JSON.stringify(document), reviewedVersion: 1n, changeId, author: 'fault-tests',
});

type Shown = {readonly version: number; readonly teams: readonly string[]};

const isEnvelope = (value: unknown): value is {version: number; document: {teams: Record<string, unknown>}} =>
	typeof value === 'object' && value !== null && 'version' in value && 'document' in value;

const show = async (fleet: Fleet, entry: EntryProcess): Promise<Shown> => {
	const {envelopeJson} = await fleet.createOperatorClient(entry).showDocument({version: 0n});
	const value: unknown = JSON.parse(envelopeJson);
	return isEnvelope(value) ? {version: value.version, teams: Object.keys(value.document.teams)} : {version: 0, teams: []};
};

const showAll = async (fleet: Fleet): Promise<readonly Shown[]> => Promise.all(fleet.entries.map(async entry => show(fleet, entry)));

/** Milliseconds until all entry instances show the version; throws after twice the bound. */
const measureInForce = async (fleet: Fleet, version: number): Promise<number> => {
	const startedAt = performance.now();
	await waitUntil({
		description: `version ${version} is in force everywhere`,
		async condition() {
			const shown = await showAll(fleet);
			return shown.every(one => one.version >= version);
		},
		timeoutMilliseconds: 2 * inForceBound,
	});
	return performance.now() - startedAt;
};

const checkNeverReverts = (context: CaseContext, history: ReadonlyArray<readonly Shown[]>): void => {
	const reverts = history.slice(1).filter((shown, index) => shown.some(({version}, entry) => version < history[index]![entry]!.version));
	context.check('no version reverts', reverts.length === 0, `${history.length} readings of each instance, ${reverts.length} reverts`);
};

const lostAnswer: FaultCase = {
	name: 'answer to a submit lost after the write took effect',
	guarantee: 10,
	seed: 10_001,
	steps: 'the platform\'s answers to the next 2 writes from each zone are lost; a document is submitted, then again with the same change identifier',
	bound: 'applied once; in force everywhere within 7 s',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		await fleet.platform.control.setFaults({faults: {lostAnswers: 2}});
		const changeId = randomUUID();
		const first = await submitAt(fleet, fleet.entries[0]!, documentWith('lost'), changeId);
		const second = await submitAt(fleet, fleet.entries[3]!, documentWith('lost'), changeId);
		const milliseconds = await measureInForce(fleet, 2);
		await sleep(1000);
		const shown = await showAll(fleet);
		context.check('accepted or recognised', second.verdict === verdicts.ACCEPTED, [first, second].map(({verdict}) => verdicts[verdict]).join(', '));
		context.check('applied once', shown.every(({version}) => version === 2), `versions ${shown.map(({version}) => version).join(', ')}`);
		context.check('in force within 7 s', milliseconds < inForceBound, `${milliseconds.toFixed(0)} ms`);
	},
};

const racingSubmits: FaultCase = {
	name: 'operators race each other',
	guarantee: 10,
	seed: 10_002,
	steps: 'four different documents are submitted at the same time at the four entry instances, all reviewed against version 1',
	bound: 'one is accepted, the others get a conflict; in force everywhere within 7 s; never reverts',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const answers = await Promise.all(fleet.entries.map(async (entry, index) => submitAt(fleet, entry, documentWith(`racer-${index}`))));
		const winners = answers.flatMap(({verdict}, index) => verdict === verdicts.ACCEPTED ? [index] : []);
		const conflicts = answers.filter(({verdict}) => verdict === verdicts.CONFLICT);
		context.check('one wins', winners.length === 1 && conflicts.length === 3, answers.map(({verdict}) => verdicts[verdict]).join(', '));
		const milliseconds = await measureInForce(fleet, 2);
		context.check('in force within 7 s', milliseconds < inForceBound, `${milliseconds.toFixed(0)} ms`);
		const history: Array<readonly Shown[]> = [];
		for (let reading = 0; reading < 10; reading++) {
			history.push(await showAll(fleet)); // eslint-disable-line no-await-in-loop -- Readings follow each other.
			await sleep(200); // eslint-disable-line no-await-in-loop
		}

		checkNeverReverts(context, history);
		const last = history.at(-1) ?? [];
		context.check('the winner is in force', last.every(({teams}) => teams.includes(`racer-${winners[0]}`)), `versions ${last.map(({version}) => version).join(', ')}`);
	},
};

const callKeyed = async (entry: EntryProcess, queue: Queue): Promise<ResponseClass> => {
	const {type} = await sendRequest({
		entryUrl: entry.callersUrl, queue, method: 'GET', path: '/x', presentedKey: presentedKeys[Team.Booking], timeoutMilliseconds: 1000,
	});
	return type;
};

type Probes = {readonly lastAccepted: ReadonlyMap<string, number>; readonly openAnswers: number; readonly openSent: number};

/** Calls each entry instance with the key, and an open queue, for the given time. */
const probe = async (entries: readonly EntryProcess[], durationMilliseconds: number): Promise<Probes> => {
	const startedAt = performance.now();
	const lastAccepted = new Map<string, number>();
	let openAnswers = 0;
	let openSent = 0;
	const probeEntry = async (entry: EntryProcess): Promise<void> => {
		while (performance.now() - startedAt < durationMilliseconds) {
			const sentAt = performance.now();
			const [keyed, open] = await Promise.all([callKeyed(entry, Queue.Keyed), callKeyed(entry, Queue.Open)]); // eslint-disable-line no-await-in-loop
			openSent++;
			openAnswers += open === ResponseClass.Answered ? 1 : 0;
			if (keyed === ResponseClass.Answered) {
				lastAccepted.set(entry.name, sentAt - startedAt);
			}

			await sleep(50); // eslint-disable-line no-await-in-loop -- Spaces the calls.
		}
	};

	await Promise.all(entries.map(async entry => probeEntry(entry)));
	return {lastAccepted, openAnswers, openSent};
};

/** Without this a key that never worked would pass for a withdrawn one. */
const checkKeyWorks = async (context: CaseContext): Promise<void> => {
	const answers = await Promise.all(context.fleet.entries.map(async entry => callKeyed(entry, Queue.Keyed)));
	context.check('the key works before', answers.every(type => type === ResponseClass.Answered), answers.join(', '));
};

const checkWithdrawn = (context: CaseContext, probes: Probes, bounds: {readonly entries: readonly EntryProcess[]; readonly milliseconds: number; readonly name: string}): void => {
	const last = bounds.entries.map(({name}) => probes.lastAccepted.get(name) ?? 0);
	context.check(bounds.name, last.every(milliseconds => milliseconds <= bounds.milliseconds), `last accepted ${last.map(value => value.toFixed(0)).join(', ')} ms after the submit`);
};

const withdrawnKeyBehindCut: FaultCase = {
	name: 'key withdrawn while a zone is cut off',
	guarantee: 3,
	seed: 3001,
	steps: 'zone-b is cut off from the platform and from zone-a; a document without the team\'s key is submitted in zone-a; all instances are called with the key for 8 s; the zone is healed',
	bound: 'the key stops within 2 s in zone-a and within 5 s in zone-b; open queues go on',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const near = fleet.entries.filter(({endpoints: place}) => place.zone === 'zone-a');
		const far = fleet.entries.filter(({endpoints: place}) => place.zone === 'zone-b');
		await checkKeyWorks(context);
		await fleet.setZoneIsolated('zone-b', true);
		const probing = probe(fleet.entries, 8000);
		const answer = await submitAt(fleet, near[0]!, documentWithoutBookingKey);
		const probes = await probing;
		context.check('the change is accepted', answer.verdict === verdicts.ACCEPTED, `${verdicts[answer.verdict]}, unconfirmed: ${answer.unconfirmed.join(', ')}`);
		checkWithdrawn(context, probes, {entries: near, milliseconds: 2000, name: 'stops within 2 s in zone-a'});
		checkWithdrawn(context, probes, {entries: far, milliseconds: cutOffBound, name: 'stops within 5 s in zone-b'});
		context.check('open queues go on', probes.openAnswers === probes.openSent, `${probes.openAnswers} of ${probes.openSent} answered`);
		await fleet.setZoneIsolated('zone-b', false);
		const milliseconds = await measureInForce(fleet, 2);
		context.check('in force within 7 s of healing', milliseconds < inForceBound, `${milliseconds.toFixed(0)} ms`);
	},
};

const withdrawnKeyFrozen: FaultCase = {
	name: 'key withdrawn while an entry instance is frozen',
	guarantee: 3,
	seed: 3002,
	steps: 'an entry instance is frozen for 7 s; a document without the team\'s key is submitted elsewhere; a request waits in its socket; thawed',
	bound: 'it accepts no work with the key after it wakes up',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const [frozen, other] = fleet.entries;
		await checkKeyWorks(context);
		frozen!.pause();
		const answer = await submitAt(fleet, other!, documentWithoutBookingKey);
		context.check('the change is accepted', answer.verdict === verdicts.ACCEPTED, verdicts[answer.verdict]);
		await sleep(7000);
		const waiting = Promise.all(Array.from({length: 10}, async () => callKeyed(frozen!, Queue.Keyed)));
		await sleep(100);
		frozen!.resume();
		const answers = await waiting;
		const accepted = answers.filter(type => type === ResponseClass.Answered);
		context.check('no work for the withdrawn key', accepted.length === 0, `${accepted.length} of ${answers.length} accepted`);
		context.check('its refusals are answered', answers.every(type => type === ResponseClass.NotRun), answers.join(', '));
	},
};

export const configurationCases: readonly FaultCase[] = [lostAnswer, racingSubmits, withdrawnKeyBehindCut, withdrawnKeyFrozen];
