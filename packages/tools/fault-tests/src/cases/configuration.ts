/** Guarantee 3: a withdrawn API key stops working; guarantee 10: a document change is applied once, everywhere, and never reverted. */
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
/** Guaranteed bounds: a change is in force everywhere; an isolated zone rejects a withdrawn API key. */
const maximumInForceMilliseconds = 7000;
const maximumIsolatedKeyMilliseconds = 5000;

/** The initial document plus one team. */
const createDocumentWithTeam = (teamName: string): unknown => createDocument({teams: {[teamName]: {share: 1, limit: 1}}});
const documentWithoutBookingKey = createDocument({teams: {[Team.Booking]: {share: 2, limit: 200, keys: []}}});

const submitDocument = async (fleet: Fleet, entry: EntryProcess, document: unknown, changeId = randomUUID()) => fleet.createOperatorClient(entry).submitDocument({
	documentJson: JSON.stringify(document), reviewedVersion: 1n, changeId, author: 'fault-tests',
});

type DocumentState = {readonly version: number; readonly teams: readonly string[]};

const isEnvelope = (value: unknown): value is {version: number; document: {teams: Record<string, unknown>}} =>
	typeof value === 'object' && value !== null && 'version' in value && 'document' in value;

const readDocumentState = async (fleet: Fleet, entry: EntryProcess): Promise<DocumentState> => {
	const {envelopeJson} = await fleet.createOperatorClient(entry).showDocument({version: 0n});
	const value: unknown = JSON.parse(envelopeJson);
	return isEnvelope(value) ? {version: value.version, teams: Object.keys(value.document.teams)} : {version: 0, teams: []};
};

const readAllDocumentStates = async (fleet: Fleet): Promise<readonly DocumentState[]> => Promise.all(fleet.entries.map(async entry => readDocumentState(fleet, entry)));

/** Waits until the version is in force at all entry instances and returns the milliseconds; throws after twice the bound. */
const measureTimeInForce = async (fleet: Fleet, version: number): Promise<number> => {
	const startedAt = performance.now();
	await waitUntil({
		description: `version ${version} is in force everywhere`,
		async condition() {
			const states = await readAllDocumentStates(fleet);
			return states.every(one => one.version >= version);
		},
		timeoutMilliseconds: 2 * maximumInForceMilliseconds,
	});
	return performance.now() - startedAt;
};

const checkVersionsNeverDecrease = (context: CaseContext, history: ReadonlyArray<readonly DocumentState[]>): void => {
	const decreases = history.slice(1).filter((states, index) => states.some(({version}, entry) => version < history[index]![entry]!.version));
	context.check('no version decreases', decreases.length === 0, `${history.length} readings of each instance, ${decreases.length} decreases`);
};

const lostResponse: FaultCase = {
	name: 'response to a submit lost after the write took effect',
	guarantee: 10,
	seed: 10_001,
	steps: 'the platform\'s responses to the next 2 writes from each zone are lost; a document is submitted twice with the same change identifier',
	bound: 'applied once; in force everywhere within 7 s',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		await fleet.platform.control.setFaults({faults: {lostAnswers: 2}});
		const changeId = randomUUID();
		const first = await submitDocument(fleet, fleet.entries[0]!, createDocumentWithTeam('lost'), changeId);
		const second = await submitDocument(fleet, fleet.entries[3]!, createDocumentWithTeam('lost'), changeId);
		const milliseconds = await measureTimeInForce(fleet, 2);
		await sleep(1000);
		const states = await readAllDocumentStates(fleet);
		context.check('the repeated submit is accepted', second.verdict === verdicts.ACCEPTED, [first, second].map(({verdict}) => verdicts[verdict]).join(', '));
		context.check('applied once', states.every(({version}) => version === 2), `versions ${states.map(({version}) => version).join(', ')}`);
		context.check('in force within 7 s', milliseconds < maximumInForceMilliseconds, `${milliseconds.toFixed(0)} ms`);
	},
};

const concurrentSubmits: FaultCase = {
	name: 'operators submit conflicting documents concurrently',
	guarantee: 10,
	seed: 10_002,
	steps: 'four different documents are submitted to the four entry instances at the same time, all reviewed against version 1',
	bound: 'one is accepted, the others get a conflict; in force everywhere within 7 s; versions never decrease',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const responses = await Promise.all(fleet.entries.map(async (entry, index) => submitDocument(fleet, entry, createDocumentWithTeam(`racer-${index}`))));
		const acceptedIndexes = responses.flatMap(({verdict}, index) => verdict === verdicts.ACCEPTED ? [index] : []);
		const conflicts = responses.filter(({verdict}) => verdict === verdicts.CONFLICT);
		context.check('exactly one is accepted', acceptedIndexes.length === 1 && conflicts.length === 3, responses.map(({verdict}) => verdicts[verdict]).join(', '));
		const milliseconds = await measureTimeInForce(fleet, 2);
		context.check('in force within 7 s', milliseconds < maximumInForceMilliseconds, `${milliseconds.toFixed(0)} ms`);
		const history: Array<readonly DocumentState[]> = [];
		for (let reading = 0; reading < 10; reading++) {
			history.push(await readAllDocumentStates(fleet)); // eslint-disable-line no-await-in-loop -- Readings follow each other.
			await sleep(200); // eslint-disable-line no-await-in-loop
		}

		checkVersionsNeverDecrease(context, history);
		const last = history.at(-1) ?? [];
		context.check('the accepted document is in force', last.every(({teams}) => teams.includes(`racer-${acceptedIndexes[0]}`)), `versions ${last.map(({version}) => version).join(', ')}`);
	},
};

const callQueue = async (entry: EntryProcess, queue: Queue): Promise<ResponseClass> => {
	const {type} = await sendRequest({
		entryUrl: entry.callersUrl, queue, method: 'GET', path: '/x', presentedKey: presentedKeys[Team.Booking], timeoutMilliseconds: 1000,
	});
	return type;
};

type ProbeReport = {readonly lastAccepted: ReadonlyMap<string, number>; readonly openAnswered: number; readonly openSent: number};

/** Calls an authenticated and an open queue at each entry instance for the given time. */
const probe = async (entries: readonly EntryProcess[], durationMilliseconds: number): Promise<ProbeReport> => {
	const startedAt = performance.now();
	const lastAccepted = new Map<string, number>();
	let openAnswered = 0;
	let openSent = 0;
	const probeEntry = async (entry: EntryProcess): Promise<void> => {
		while (performance.now() - startedAt < durationMilliseconds) {
			const sentAt = performance.now();
			const [keyed, open] = await Promise.all([callQueue(entry, Queue.Authenticated), callQueue(entry, Queue.Open)]); // eslint-disable-line no-await-in-loop
			openSent++;
			openAnswered += open === ResponseClass.Answered ? 1 : 0;
			if (keyed === ResponseClass.Answered) {
				lastAccepted.set(entry.name, sentAt - startedAt);
			}

			await sleep(50); // eslint-disable-line no-await-in-loop -- Spaces the calls.
		}
	};

	await Promise.all(entries.map(async entry => probeEntry(entry)));
	return {lastAccepted, openAnswered, openSent};
};

/** Guards against a key that never worked and so looks withdrawn. */
const checkKeyWorks = async (context: CaseContext): Promise<void> => {
	const responses = await Promise.all(context.fleet.entries.map(async entry => callQueue(entry, Queue.Authenticated)));
	context.check('the key works before it is withdrawn', responses.every(type => type === ResponseClass.Answered), responses.join(', '));
};

const checkKeyRejected = (context: CaseContext, probes: ProbeReport, expectation: {readonly entries: readonly EntryProcess[]; readonly milliseconds: number; readonly name: string}): void => {
	const lastTimes = expectation.entries.map(({name}) => probes.lastAccepted.get(name) ?? 0);
	context.check(expectation.name, lastTimes.every(time => time <= expectation.milliseconds), `last accepted ${lastTimes.map(time => time.toFixed(0)).join(', ')} ms after the submit`);
};

const keyWithdrawnDuringPartition: FaultCase = {
	name: 'key withdrawn while a zone is isolated',
	guarantee: 3,
	seed: 3001,
	steps: 'zone-b is isolated from the platform and from zone-a; a document without the team\'s key is submitted in zone-a; all instances are called with the key for 8 s; zone-b is reconnected',
	bound: 'the key is rejected within 2 s in zone-a and within 5 s in zone-b; open queues stay available',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const connected = fleet.entries.filter(({endpoints}) => endpoints.zone === 'zone-a');
		const isolated = fleet.entries.filter(({endpoints}) => endpoints.zone === 'zone-b');
		await checkKeyWorks(context);
		await fleet.setZoneIsolated('zone-b', true);
		const probing = probe(fleet.entries, 8000);
		const response = await submitDocument(fleet, connected[0]!, documentWithoutBookingKey);
		const probes = await probing;
		context.check('the change is accepted', response.verdict === verdicts.ACCEPTED, `${verdicts[response.verdict]}, unconfirmed: ${response.unconfirmed.join(', ')}`);
		checkKeyRejected(context, probes, {entries: connected, milliseconds: 2000, name: 'the key is rejected within 2 s in zone-a'});
		checkKeyRejected(context, probes, {entries: isolated, milliseconds: maximumIsolatedKeyMilliseconds, name: 'the key is rejected within 5 s in zone-b'});
		context.check('open queues stay available', probes.openAnswered === probes.openSent, `${probes.openAnswered} of ${probes.openSent} answered`);
		await fleet.setZoneIsolated('zone-b', false);
		const milliseconds = await measureTimeInForce(fleet, 2);
		context.check('in force within 7 s after reconnection', milliseconds < maximumInForceMilliseconds, `${milliseconds.toFixed(0)} ms`);
	},
};

const keyWithdrawnWhilePaused: FaultCase = {
	name: 'key withdrawn while an entry instance is paused',
	guarantee: 3,
	seed: 3002,
	steps: 'an entry instance is paused for 7 s; a document without the team\'s key is submitted to another one; 10 requests wait in the socket buffers of the paused instance; it is resumed',
	bound: 'the instance accepts no request with the key after it resumes',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const [paused, other] = fleet.entries;
		await checkKeyWorks(context);
		paused!.pause();
		const response = await submitDocument(fleet, other!, documentWithoutBookingKey);
		context.check('the change is accepted', response.verdict === verdicts.ACCEPTED, verdicts[response.verdict]);
		await sleep(7000);
		const pendingCalls = Promise.all(Array.from({length: 10}, async () => callQueue(paused!, Queue.Authenticated)));
		await sleep(100);
		paused!.resume();
		const responses = await pendingCalls;
		const accepted = responses.filter(type => type === ResponseClass.Answered);
		context.check('no request with the withdrawn key is accepted', accepted.length === 0, `${accepted.length} of ${responses.length} accepted`);
		context.check('every request gets a not-run response', responses.every(type => type === ResponseClass.NotRun), responses.join(', '));
	},
};

export const configurationCases: readonly FaultCase[] = [lostResponse, concurrentSubmits, keyWithdrawnDuringPartition, keyWithdrawnWhilePaused];
