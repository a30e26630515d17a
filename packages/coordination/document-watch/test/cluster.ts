/**
 * Simulated entry instances, a platform and a network; the test decides for each
 * message whether it is delivered, delayed or lost.
 */
import {parseEnvelope} from '@turmericbay/document';
import {StoreErrorKind} from '@turmericbay/types';
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createDocumentWatch} from '../src/index.js';
import type {DocumentWatch, PeerError, SubmitOutcome} from '../src/index.js';
import {currentKey} from '../src/store-keys.js';
import {createMemory, storeError} from './memory-store.js';
import {createNetwork} from './network.js';

export const instances = [
	{instance: 'a1', zone: 'zone-a'}, {instance: 'a2', zone: 'zone-a'}, {instance: 'a3', zone: 'zone-a'}, {instance: 'b1', zone: 'zone-b'},
];

export type InstanceName = string;
export type Commit = {readonly time: number; readonly version: number; readonly changeId: string};
export type Change = {readonly changeId: string; readonly reviewedVersion: number; readonly outcomes: SubmitOutcome[]; submits: number};

type Member = {
	watch: DocumentWatch;
	process: number;
	clockOffset: number;
	restartedAt: number;
	highestVersion: number;
};

const flush = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const documentText = (limit: number): string => JSON.stringify({
	schemaVersion: 1, pools: {wash: {kind: 'upstream'}}, teams: {booking: {share: 1, limit}}, queues: {},
});

export const createCluster = () => {
	let time = 0;
	let processes = 0;
	const commits: Commit[] = [];
	const changes: Change[] = [];
	const watchers = new Map<InstanceName, (value: ReturnType<typeof memory.list>['entries']) => void>();
	const members = new Map<InstanceName, Member>();
	const contents = new Map<number, string>();

	const memory = createMemory(entries => {
		const current = entries.find(({key}) => key === currentKey);
		if (current === undefined) {
			return;
		}

		const {version, changeId} = parseEnvelope({text: current.value})._unsafeUnwrap();
		if (commits.at(-1)?.changeId !== changeId) {
			commits.push({time, version, changeId});
		}

		for (const [name, onChange] of watchers) {
			const {process} = member(name);
			calls.push({
				from: name, to: 'platform', process, isWrite: false, sentAt: time, apply: () => () => {
					onChange([current]);
				}, fail: () => undefined,
			});
		}
	});

	const member = (name: InstanceName): Member => {
		const found = members.get(name);
		if (found === undefined) {
			throw new Error(`no instance ${name}`);
		}

		return found;
	};

	const {hangPlatform, timeOutHung, calls, disconnectedLinks, send, pick, deliver, abandon, findUnawaited, findAwaited, refuseRequest} = createNetwork({sender: member, time: () => time});
	const processOf = (name: InstanceName): number => members.get(name)?.process ?? processes;

	const createStore = (from: InstanceName): KeyValueStore => {
		const call = async <Value>(apply: () => Result<Value, StoreError>, isWrite = false) => send({
			from, to: 'platform', process: processOf(from), apply, toError: storeError, isWrite,
		});
		const unused = async () => err(storeError(StoreErrorKind.NotApplied));
		return {
			read: async ({key}) => call(() => ok(memory.read(key))),
			list: async options => call(() => ok(memory.list(options))),
			transact: async options => call(() => memory.transact(options), options.operations.length > 0),
			grantLease: unused,
			renewLease: unused,
			revokeLease: unused,
			watch({onChange}) {
				watchers.set(from, onChange);
				return {
					stop() {
						watchers.delete(from);
					},
				};
			},
		};
	};

	const createPeers = (from: InstanceName) => {
		const call = async <Value>(to: InstanceName, apply: (peer: DocumentWatch) => Value): Promise<Result<Value, PeerError>> => send({
			from, to, process: processOf(from), apply: () => ok(apply(member(to).watch)), toError: message => ({code: 'PEER_UNAVAILABLE', message}),
		});
		return {
			known: () => instances.filter(({instance}) => instance !== from),
			query: async ({instance}: {instance: InstanceName}) => call(instance, peer => peer.answerPeer()),
			fetchDocument: async ({instance}: {instance: InstanceName}) => call(instance, peer => peer.currentJson()),
			pushDocument: async ({instance, envelopeJson}: {instance: InstanceName; envelopeJson: string}) => call(instance, peer => peer.receivePushedDocument({envelopeJson})),
		};
	};

	const restart = (index: number): void => {
		const self = instances[index % instances.length] ?? {instance: 'a1', zone: 'zone-a'};
		const {instance} = self;
		processes++;
		watchers.delete(instance);
		const clockOffset = processes * 1_000_000;
		const watch = createDocumentWatch({
			self,
			store: createStore(instance),
			peers: createPeers(instance),
			live: () => instances,
			clock: {monotonicMilliseconds: () => time + clockOffset, wallMilliseconds: () => 1_750_000_000_000 + time},
			random: () => 0.5,
			wait: async () => undefined,
			report: () => undefined,
		});
		members.set(instance, {
			watch, process: processes, clockOffset, restartedAt: time, highestVersion: 0,
		});
		void watch.start();
	};

	const submit = (index: number, repeated?: Change): void => {
		const {watch} = member(instances[index % instances.length]?.instance ?? 'a1');
		const change = repeated ?? {
			changeId: `change-${changes.length}`, reviewedVersion: watch.status().version, outcomes: [], submits: 0,
		};
		change.submits++;
		if (repeated === undefined) {
			changes.push(change);
		}

		const {changeId, reviewedVersion} = change;
		const record = async () => {
			change.outcomes.push(await watch.submitDocument({
				text: documentText(Number(changeId.slice('change-'.length))), changeId, reviewedVersion, author: 'operator',
			}));
		};

		void record();
	};

	for (const index of instances.keys()) {
		restart(index);
	}

	return {
		commits,
		changes,
		members: (): readonly Member[] => [...members.values()],
		contents,
		time: () => time,
		calls: () => calls,
		flush,
		restart,
		submit,
		advance(milliseconds: number): void {
			time += milliseconds;
		},
		tick(index: number): void {
			void member(instances[index % instances.length]?.instance ?? 'a1').watch.tick();
		},
		deliver(index: number): void {
			const call = pick(index);
			if (call !== undefined) {
				deliver(call);
			}
		},
		/** The caller times out; the request stays in the network and may take effect later. */
		timeOut(index: number): void {
			abandon(pick(index));
		},
		timeOutWrite(): void {
			abandon(calls.find(({isWrite, isAbandoned}) => isWrite && isAbandoned !== true));
		},
		applyAbandoned(): void {
			const call = findUnawaited();
			if (call !== undefined) {
				deliver(call);
			}
		},
		/** Ticks every instance and delivers every message whose caller waits for it. */
		async runRound(milliseconds = 1100): Promise<void> {
			time += milliseconds;
			for (const {watch} of members.values()) {
				void watch.tick();
			}

			timeOutHung();
			await flush();
			for (;;) {
				const call = findAwaited();
				if (call === undefined) {
					return;
				}

				deliver(call);
				// eslint-disable-next-line no-await-in-loop -- one message at a time
				await flush();
			}
		},
		refuse(index: number): void {
			refuseRequest(pick(index));
		},
		setDisconnected(index: number, target: number, isOn: boolean): void {
			const from = instances[index % instances.length]?.instance ?? 'a1';
			const to = target % 2 === 0 ? 'platform' : instances[target % instances.length]?.instance ?? 'a1';
			if (isOn) {
				disconnectedLinks.add(`${from}-${to}`);
			} else {
				disconnectedLinks.delete(`${from}-${to}`);
			}
		},
		setOutage(isOn: boolean): void {
			for (const {instance} of instances) {
				if (isOn) {
					disconnectedLinks.add(`${instance}-platform`);
				} else {
					disconnectedLinks.delete(`${instance}-platform`);
				}
			}
		},
		/** Exchanges answers between all connected instances, as the daemon does at each tick. */
		async exchange(): Promise<void> {
			const pairs = instances.flatMap(({instance: from}) => instances.map(({instance: to}) => ({from, to})));
			await Promise.all(pairs.filter(({from, to}) => from !== to && !disconnectedLinks.has(`${from}-${to}`) && !disconnectedLinks.has(`${to}-${from}`)).map(async ({from, to}) => {
				const {watch, clockOffset} = member(from);
				return watch.recordPeerAnswer({startedAt: time + clockOffset, answer: member(to).watch.answerPeer()});
			}));
		},
		hangPlatform,
		isolate(index: number): void {
			const self = instances[index]?.instance ?? 'a1';
			for (const other of ['platform', ...instances.map(({instance}) => instance)]) {
				disconnectedLinks.add(`${self}-${other}`);
			}
		},
		endFaults(): void {
			disconnectedLinks.clear();
		},
	};
};

export type Cluster = ReturnType<typeof createCluster>;
