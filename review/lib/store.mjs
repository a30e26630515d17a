/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it. Each machine gets an address of its own, so that the
 * store can turn some machines away while it serves the others.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {json} from 'node:stream/consumers';
import {listen, wait} from './tools.mjs';

const expiryCheckMilliseconds = 20;
const pageItems = 500;
const longestWatchMilliseconds = 30_000;
const answerMilliseconds = 4;
/** The settings: `valueBytes`, `writesPerS`. */
const valueBytes = 1_048_576;
const writesPerSecond = 400;

export const createStore = () => {
	const items = new Map();
	const events = [];
	const leases = new Map();
	const servers = [];
	let revision = 1;
	const resumeWatches = [];

	const recordEvent = event => {
		events.push(event);
		for (const resume of resumeWatches.splice(0)) {
			resume();
		}
	};

	const remove = key => {
		if (items.delete(key)) {
			recordEvent({key, revision, tombstone: true});
		}
	};

	const write = (key, value, lease = 0) => {
		items.set(key, {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		});
		recordEvent(items.get(key));
	};

	const endLease = id => {
		if (!leases.delete(id)) {
			return false;
		}

		const held = [...items.values()].filter(({lease}) => lease === id);
		revision += held.length > 0 ? 1 : 0;
		for (const {key} of held) {
			remove(key);
		}

		return true;
	};

	let writeTimes = [];
	/** All machines together may write this often. */
	const isBeyondRate = () => {
		const now = performance.now();
		writeTimes = writeTimes.filter(at => at > now - 1000);
		writeTimes.push(now);
		return writeTimes.length > writesPerSecond;
	};

	const transact = ({expectedRev = [], writes = [], remove: removals = []}) => {
		const isExpected = expectedRev.every(({key, revision: expected}) => (items.get(key)?.revision ?? 0) === expected);
		if (!isExpected) {
			return [412, {items: expectedRev.flatMap(({key}) => items.has(key) ? [items.get(key)] : [])}];
		}

		if (writes.some(({value}) => Buffer.byteLength(value, 'base64') > valueBytes)) {
			return [413, {}];
		}

		if (writes.some(({lease = 0}) => lease !== 0 && !leases.has(lease))) {
			return [404, {}];
		}

		revision += 1;
		for (const {key, value, lease} of writes) {
			write(key, value, lease);
		}

		for (const key of removals) {
			remove(key);
		}

		return [200, {revision}];
	};

	const watch = async parameters => {
		const prefix = parameters.get('prefix') ?? '';
		const after = Number(parameters.get('after'));
		const deadline = performance.now() + Math.min(longestWatchMilliseconds, Number(parameters.get('waitMs')));
		const find = () => events.filter(event => event.revision > after && event.key.startsWith(prefix));
		while (find().length === 0 && performance.now() < deadline) {
			// eslint-disable-next-line no-await-in-loop -- Waits for the next change.
			await Promise.race([wait(deadline - performance.now()), new Promise(resolve => {
				resumeWatches.push(resolve);
			})]);
		}

		return [200, {events: find(), storeRevision: revision}];
	};

	const handle = async (request, body) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		if (pathname === '/-/kv-key') {
			const item = items.get(searchParams.get('key'));
			return item ? [200, {...item, storeRevision: revision}] : [404, {storeRevision: revision}];
		}

		if (pathname === '/-/kv-range') {
			const after = searchParams.get('after') ?? '';
			const found = [...items.values()].filter(({key}) => key.startsWith(searchParams.get('prefix')) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
			return [200, {items: found.slice(0, pageItems), morePages: found.length > pageItems, storeRevision: revision}];
		}

		if (pathname === '/-/kv-watch') {
			return watch(searchParams);
		}

		if (pathname === '/-/kv-txn') {
			return isBeyondRate() ? [429, {}] : transact(body);
		}

		if (pathname === '/-/kv-lease') {
			revision += 1;
			const ttlMs = Math.min(600_000, Math.max(1000, body.ttlMs));
			leases.set(revision, {ttlMs, endsAt: performance.now() + ttlMs});
			return [200, {lease: revision, ttlMs}];
		}

		const id = Number(pathname.slice(pathname.lastIndexOf('/') + 1));
		if (pathname.startsWith('/-/kv-lease-end/')) {
			return endLease(id) ? [200, {}] : [404, {}];
		}

		const lease = leases.get(id);
		if (pathname.startsWith('/-/kv-keep/') && lease) {
			lease.endsAt = performance.now() + lease.ttlMs;
			return [200, {ttlMs: lease.ttlMs}];
		}

		return [404, {}];
	};

	const expiryTimer = setInterval(() => {
		for (const [id, {endsAt}] of leases) {
			if (endsAt <= performance.now()) {
				endLease(id);
			}
		}
	}, expiryCheckMilliseconds);

	return {
		/** Opens an address for one machine. */
		async open() {
			let isTurnedAway = false;
			let slowness = 1;
			const server = createServer(async (request, response) => {
				const body = request.method === 'POST' && request.headers['content-length'] !== '0' && request.headers['content-type'] ? await json(request) : {};
				await wait(answerMilliseconds * slowness);
				const [status, answer] = isTurnedAway ? [503, {}] : await handle(request, body);
				response.writeHead(status, {'content-type': 'application/json'});
				response.end(JSON.stringify(answer));
			});
			servers.push(server);
			const address = await listen(server);
			return {
				address,
				/** Answers take this many times as long. */
				slowDown(next) {
					slowness = next;
				},
				/** 503 to all calls of this machine: nothing is done. */
				turnAway(next) {
					isTurnedAway = next;
				},
			};
		},
		/** Writes for the operator or for a runner. */
		put(key, value) {
			revision += 1;
			write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		remove(key) {
			revision += 1;
			remove(key);
		},
		read(key) {
			const item = items.get(key);
			return item && JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
		},
		close() {
			clearInterval(expiryTimer);
			for (const server of servers) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
};
