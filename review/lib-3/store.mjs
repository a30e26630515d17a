/** Stand-in for the platform's key-value store: keys, ranges, watches, transactions and leases over HTTP, as PROTOCOL.md describes them. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {
	listen, readJson, respond, sleep,
} from './http.mjs';

const answerMilliseconds = 4;
const itemsPerPage = 500;
const bytesPerPage = 1_000_000;
const expiryCheckMilliseconds = 10;

export const startStore = async () => {
	const items = new Map();
	const events = [];
	const leases = new Map();
	const waiting = new Set();
	let revision = 1;

	const publish = event => {
		events.push(event);
		for (const wake of waiting) {
			wake();
		}
	};

	const remove = key => {
		if (items.delete(key)) {
			publish({key, revision, tombstone: true});
		}
	};

	const put = (key, value, lease = 0) => {
		const created = items.get(key)?.created ?? revision;
		items.set(key, {
			key, value, revision, created, lease,
		});
		publish({
			key, value, revision, created, lease,
		});
	};

	const transact = ({expectedRev = [], writes = [], remove: removals = []}) => {
		const failed = expectedRev.filter(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected);
		if (failed.length > 0) {
			return [412, {items: expectedRev.map(({key}) => items.get(key)).filter(Boolean)}];
		}

		if (writes.some(({lease = 0}) => lease !== 0 && !leases.has(lease))) {
			return [404, {}];
		}

		revision += 1;
		for (const {key, value, lease} of writes) {
			put(key, value, lease);
		}

		for (const key of removals) {
			remove(key);
		}

		return [200, {revision}];
	};

	const endLease = lease => {
		if (leases.delete(lease)) {
			revision += 1;
			for (const item of items.values()) {
				if (item.lease === lease) {
					remove(item.key);
				}
			}
		}
	};

	const listRange = query => {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const found = [...items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
		const page = [];
		let bytes = 0;
		for (const item of found) {
			bytes += item.key.length + item.value.length;
			if (page.length >= itemsPerPage || (page.length > 0 && bytes > bytesPerPage)) {
				break;
			}

			page.push(item);
		}

		return [200, {items: page, morePages: page.length < found.length, storeRevision: revision}];
	};

	const watch = async query => {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const deadline = performance.now() + Number(query.get('waitMs') ?? 0);
		const find = () => events.filter(event => event.revision > after && event.key.startsWith(prefix));
		let found = find();
		while (found.length === 0 && performance.now() < deadline) {
			// eslint-disable-next-line no-await-in-loop -- Waits for the next change.
			await new Promise(resolve => {
				const timer = setTimeout(wake, Math.max(1, deadline - performance.now()));
				waiting.add(wake);
				function wake() {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				}
			});
			found = find();
		}

		return [200, {events: found, storeRevision: revision}];
	};

	const handle = async (request, body) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		switch (pathname) {
			case '/-/kv-key': {
				const item = items.get(searchParams.get('key') ?? '');
				return item ? [200, {...item, storeRevision: revision}] : [404, {storeRevision: revision}];
			}

			case '/-/kv-range': {
				return listRange(searchParams);
			}

			case '/-/kv-watch': {
				return watch(searchParams);
			}

			case '/-/kv-txn': {
				return transact(body);
			}

			case '/-/kv-lease': {
				revision += 1;
				leases.set(revision, {ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs});
				return [200, {lease: revision, ttlMs: body.ttlMs}];
			}

			default: {
				const id = Number(pathname.slice(pathname.lastIndexOf('/') + 1));
				const lease = leases.get(id);
				if (!lease) {
					return [404, {}];
				}

				if (pathname.startsWith('/-/kv-keep/')) {
					lease.endsAt = performance.now() + lease.ttlMs;
					return [200, {ttlMs: lease.ttlMs}];
				}

				endLease(id);
				return [200, {}];
			}
		}
	};

	const timer = setInterval(() => {
		for (const [id, {endsAt}] of leases) {
			if (endsAt <= performance.now()) {
				endLease(id);
			}
		}
	}, expiryCheckMilliseconds);

	const server = createServer(async (request, response) => {
		const body = await readJson(request);
		const [status, answer] = await handle(request, body);
		await sleep(answerMilliseconds);
		respond(response, status, answer);
	});
	const address = await listen(server);
	const encode = value => Buffer.from(JSON.stringify(value)).toString('base64');
	return {
		address,
		/** Writes as the operator or a runner. */
		put(key, value) {
			transact({writes: [{key, value: encode(value)}]});
		},
		delete(key) {
			transact({remove: [key]});
		},
		/** Decodes a JSON value; undefined if the key does not exist. */
		read(key) {
			const item = items.get(key);
			return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
		},
		countKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)).length,
		close() {
			clearInterval(timer);
			server.closeAllConnections();
			server.close();
		},
	};
};
