/** Stand-in for a runner: takes orders over HTTP and runs subtasks under a lease, as PROTOCOL.md describes it. */
import {createServer} from 'node:http';
import {
	listen, readJson, respond, sleep,
} from './http.mjs';

const heartbeatMilliseconds = 1500;
const advanceMilliseconds = 5;
const startupMilliseconds = 300;
const endsPerAnswer = 500;

/**
 * `getWork(task)` returns the needs and the duration of a subtask: {cpu, memMb, gpu, durationMs, lasts}.
 * `onEvent` is called with {type: 'started' | 'ended' | 'ready', task, run, how}.
 */
export const startRunner = async options => {
	const {
		id, service, zone, capacity, labels, guardsCapacity = true, stopMs, holdMaxMs, store, getWork, onEvent = () => undefined, port, born = Date.now(),
	} = options;
	const startedAt = performance.now();
	const readClock = () => Math.round(performance.now() - startedAt);
	const runs = new Map();
	const highestFinal = new Map();
	let ended = [];
	let sequence = 0;
	let highestToken = 0;
	let leaseUntil = 0;
	let seq = 0;
	let isDown = false;

	const toKey = (task, run) => `${task}#${run}`;

	const endRun = (run, how) => {
		runs.delete(toKey(run.task, run.run));
		highestFinal.set(run.task, Math.max(highestFinal.get(run.task) ?? 0, run.run));
		sequence += 1;
		ended.push([sequence, run.task, run.run, how, '']);
		onEvent({
			type: 'ended', runner: id, task: run.task, run: run.run, how,
		});
	};

	const advance = () => {
		if (isDown) {
			return;
		}

		const now = performance.now();
		for (const run of runs.values()) {
			if (readClock() >= leaseUntil) {
				endRun(run, 'lapsed');
			} else if (run.stopsAt !== undefined && now >= run.stopsAt) {
				endRun(run, 'stopped');
			} else if (!run.work.lasts && now >= run.startedAt + run.work.durationMs) {
				endRun(run, 'done');
			} else if (run.work.lasts && !run.isReady && now >= run.startedAt + startupMilliseconds) {
				run.isReady = true;
				onEvent({
					type: 'ready', runner: id, task: run.task, run: run.run,
				});
			}
		}
	};

	const extend = untilMs => {
		if (untilMs !== undefined) {
			leaseUntil = Math.max(leaseUntil, Math.min(untilMs, readClock() + holdMaxMs));
		}
	};

	const isFenced = token => {
		if (token < highestToken) {
			return true;
		}

		highestToken = token;
		return false;
	};

	const getFree = () => {
		const free = {...capacity};
		for (const {work} of runs.values()) {
			for (const kind of ['cpu', 'memMb', 'gpu']) {
				free[kind] -= work[kind] ?? 0;
			}
		}

		return free;
	};

	const startRun = ({task, run, untilMs, fencingToken}) => {
		if (isFenced(fencingToken)) {
			return [409, {reason: 'fence'}];
		}

		extend(untilMs);
		if (runs.has(toKey(task, run))) {
			return [200, {}];
		}

		if (run <= (highestFinal.get(task) ?? 0)) {
			return [409, {reason: 'old'}];
		}

		if (untilMs <= readClock()) {
			return [409, {reason: 'late'}];
		}

		const work = getWork(task);
		const free = getFree();
		if (guardsCapacity && ['cpu', 'memMb', 'gpu'].some(kind => (work[kind] ?? 0) > free[kind])) {
			return [409, {reason: 'room'}];
		}

		runs.set(toKey(task, run), {
			task, run, work, startedAt: performance.now(), stopsAt: undefined, isReady: false, percent: 100,
		});
		onEvent({
			type: 'started', runner: id, task, run, fencingToken,
		});
		return [200, {}];
	};

	const stopRun = ({task, run, fencingToken}) => {
		if (isFenced(fencingToken)) {
			return [409, {reason: 'fence'}];
		}

		highestFinal.set(task, Math.max(highestFinal.get(task) ?? 0, run));
		const row = runs.get(toKey(task, run));
		if (row) {
			row.stopsAt ??= performance.now() + stopMs;
			onEvent({
				type: 'stopping', runner: id, task, run,
			});
		}

		return [200, {}];
	};

	const getPercent = ({work, startedAt: since, isReady}) => {
		if (work.lasts) {
			return isReady ? 100 : 0;
		}

		return Math.min(100, Math.floor(100 * (performance.now() - since) / Math.max(1, work.durationMs)));
	};

	const hold = async ({fencingToken, ackedUpto = 0, untilMs, waitMs = 0}) => {
		if (isFenced(fencingToken)) {
			return [409, {reason: 'fence'}];
		}

		extend(untilMs);
		ended = ended.filter(([number]) => number > ackedUpto);
		const deadline = performance.now() + waitMs;
		// eslint-disable-next-line no-unmodified-loop-condition -- Set by a crash.
		while (ended.length === 0 && performance.now() < deadline && !isDown) {
			// eslint-disable-next-line no-await-in-loop -- Waits for an end.
			await sleep(advanceMilliseconds);
		}

		return [200, {
			running: [...runs.values()].map(run => [run.task, run.run, '', getPercent(run), run.work.lasts ? 0 : run.work.cpu]),
			ended: ended.slice(0, endsPerAnswer),
		}];
	};

	const handle = async (request, body) => {
		switch (request.url) {
			case '/-/run-start': {
				return startRun(body);
			}

			case '/-/run-stop': {
				return stopRun(body);
			}

			case '/-/pace': {
				return isFenced(body.fencingToken) ? [409, {reason: 'fence'}] : [200, {}];
			}

			case '/-/hold': {
				return hold(body);
			}

			default: {
				return [404, {}];
			}
		}
	};

	const server = createServer(async (request, response) => {
		const body = await readJson(request);
		advance();
		const [status, answer] = request.headers['x-target-instance'] === id ? await handle(request, body) : [421, {}];
		if (isDown) {
			response.destroy();
			return;
		}

		respond(response, status, {clockMs: readClock(), born, ...answer});
	});
	const address = await listen(server, port);
	const register = () => {
		seq += 1;
		store.put(`servers/${id}`, {
			born, service, address, zone, state: 'ready', version: '1', slots: 8, coldRemainingMs: 0, seq, capacity, labels,
		});
	};

	register();
	const timers = [setInterval(advance, advanceMilliseconds), setInterval(register, heartbeatMilliseconds)];
	return {
		id,
		address,
		runs,
		/** The runner ends at once: its runs end, nothing is reported, and its port is free again. Its entry is removed after three heartbeats of silence. */
		async crash() {
			isDown = true;
			for (const timer of timers) {
				clearInterval(timer);
			}

			for (const run of runs.values()) {
				onEvent({
					type: 'ended', runner: id, task: run.task, run: run.run, how: 'crash',
				});
			}

			runs.clear();
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
			setTimeout(() => {
				store.delete(`servers/${id}`);
			}, 3 * heartbeatMilliseconds).unref();
		},
		close() {
			isDown = true;
			for (const timer of timers) {
				clearInterval(timer);
			}

			server.closeAllConnections();
			server.close();
		},
	};
};
