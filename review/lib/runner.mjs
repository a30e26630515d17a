/**
 * Stand-in for a runner, as PROTOCOL.md describes it: a sound server, which starts, stops, ends and lists runs, and holds them for as long
 * as its lease lasts. A run takes the time that `getWork` returns. A crash ends the process: its runs are gone, and a start under the
 * same id knows nothing of before.
 */
import {createServer} from 'node:http';
import {json} from 'node:stream/consumers';
import {listen, wait} from './tools.mjs';

const tickMilliseconds = 5;
const longestWaitMilliseconds = 2000;
const endsPerAnswer = 500;

/** The members of each run of a gang that are present, on any runner. */
export const createGangs = () => {
	const gangs = new Map();
	const toKey = ({task, run}) => `${task.slice(0, task.lastIndexOf('.'))}#${run}`;
	return {
		/** All begin to work once the last one is there. */
		join(run, begin, end) {
			const key = toKey(run);
			const members = gangs.get(key) ?? new Map();
			gangs.set(key, members);
			members.set(run.task, {run, begin, end});
			if (members.size === run.work.gangSize) {
				for (const member of members.values()) {
					member.begin();
				}
			}
		},
		/** The others end too: `done` together, else `broken`. */
		leave(run, how) {
			const key = toKey(run);
			const members = gangs.get(key);
			gangs.delete(key);
			for (const member of members?.values() ?? []) {
				if (member.run !== run) {
					member.end(how === 'done' ? 'done' : 'broken');
				}
			}
		},
		/** A run that waited for the others in vain. */
		forget(run) {
			gangs.get(toKey(run))?.delete(run.task);
		},
	};
};

export const createRunner = ({id, service, zone, labels, capacity, guards = true, bounds, gangs, getWork, store, observe}) => {
	let server;
	let address;
	/** State of one boot; undefined while the runner is down. */
	let boot;
	let heartbeatTimer;
	let sequence = 0;

	const clock = at => Math.round(performance.now() - at.startedAt);

	const writeEntry = () => {
		sequence += 1;
		store.put(`servers/${id}`, {
			born: boot.born, service, address, zone, version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, seq: sequence, capacity, labels,
		});
	};

	const endRun = (current, run, how) => {
		if (!current.runs.delete(`${run.task}#${run.run}`)) {
			return;
		}

		if (current !== boot) {
			return;
		}

		current.finals.set(run.task, Math.max(current.finals.get(run.task) ?? 0, run.run));
		current.lastEnd += 1;
		const saved = how === 'done' ? '' : getSaved(run, how === 'stopped');
		current.ended.push([current.lastEnd, run.task, run.run, how, saved]);
		observe({
			type: 'ended', runner: id, task: run.task, run: run.run, how, saved,
		});
		leaveGang(run, how);
	};

	/** Ends up to `ackedUpto` are forgotten. */
	const forget = (current, ackedUpto) => {
		for (const [number, task, run, how] of current === boot ? current.ended : []) {
			if (number <= ackedUpto) {
				observe({
					type: 'acked', runner: id, task, run, how,
				});
			}
		}

		current.ended = current.ended.filter(([number]) => number > ackedUpto);
	};

	const leaveGang = (run, how) => {
		if (run.work.gangSize === undefined) {
			return;
		}

		if (run.isWorking) {
			gangs.leave(run, how);
		} else {
			gangs.forget(run);
		}
	};

	/** A new value with each `checkpointS` of work and at a stop: the work in milliseconds and the job. */
	const getSaved = (run, isStop) => {
		if (!run.work.saves || !run.isWorking) {
			return run.checkpoint;
		}

		const done = run.before + Math.max(0, performance.now() - run.beganAt);
		const kept = isStop ? done : Math.floor(done / (bounds.checkpointS * 1000)) * bounds.checkpointS * 1000;
		return kept <= run.before ? run.checkpoint : `${Math.round(kept).toString(16).padStart(8, '0')}${run.task.slice(4, 12)}`;
	};

	const advance = current => {
		const now = performance.now();
		if (clock(current) >= current.until) {
			for (const run of current.runs.values()) {
				endRun(current, run, 'lapsed');
			}
		}

		for (const run of current.runs.values()) {
			if (run.stopsAt !== undefined && now >= run.stopsAt) {
				endRun(current, run, 'stopped');
			} else if (!run.isWorking && now >= run.aloneAt) {
				endRun(current, run, 'alone');
			} else if (run.isWorking && now >= run.endsAt) {
				endRun(current, run, run.work.how ?? 'done');
			}
		}
	};

	const extend = (current, untilMs) => {
		if (untilMs !== undefined) {
			current.until = Math.max(current.until, Math.min(untilMs, clock(current) + bounds.holdMaxMs));
		}
	};

	const hasRoom = (current, work) => {
		for (const key of ['cpu', 'memMb', 'gpu']) {
			let used = work[key] ?? 0;
			for (const run of current.runs.values()) {
				used += run.work[key] ?? 0;
			}

			if (used > capacity[key]) {
				return false;
			}
		}

		return true;
	};

	const start = (current, body) => {
		const {task, run, checkpoint = ''} = body;
		if (current.runs.has(`${task}#${run}`)) {
			extend(current, body.untilMs);
			return [200, {}];
		}

		if (run <= (current.finals.get(task) ?? 0)) {
			extend(current, body.untilMs);
			return [409, {reason: 'old'}];
		}

		if (body.untilMs <= clock(current)) {
			return [409, {reason: 'late'}];
		}

		extend(current, body.untilMs);
		const work = getWork(task, run);
		if (guards && !hasRoom(current, work)) {
			return [409, {reason: 'room'}];
		}

		const now = performance.now();
		const before = checkpoint === '' ? 0 : Number.parseInt(checkpoint.slice(0, 8), 16);
		const row = {
			task, run, work, checkpoint, before, isWorking: false, beganAt: 0, endsAt: Number.POSITIVE_INFINITY, stopsAt: undefined, aloneAt: now + bounds.gangTimeoutMs,
		};
		current.runs.set(`${task}#${run}`, row);
		observe({
			type: 'started', runner: id, task, run, checkpoint, spec: body.spec, fencingToken: body.fencingToken,
		});
		const begin = () => {
			row.isWorking = true;
			row.beganAt = performance.now() + (checkpoint === '' ? 0 : bounds.restoreMs);
			row.endsAt = work.lasts ? Number.POSITIVE_INFINITY : row.beganAt + Math.max(1, work.milliseconds - before);
			observe({
				type: 'began', runner: id, task, run,
			});
		};

		if (work.gangSize === undefined) {
			begin();
		} else {
			gangs.join(row, begin, how => {
				endRun(current, row, how);
			});
		}

		return [200, {}];
	};

	const stop = (current, {task, run}) => {
		current.finals.set(task, Math.max(current.finals.get(task) ?? 0, run));
		const row = current.runs.get(`${task}#${run}`);
		if (row && row.stopsAt === undefined) {
			row.stopsAt = performance.now() + bounds.stopMs;
			observe({
				type: 'stopping', runner: id, task, run,
			});
		}

		return [200, {}];
	};

	const getPercent = run => {
		if (!run.isWorking) {
			return 0;
		}

		return run.work.lasts ? 100 : Math.min(99, Math.max(0, Math.floor(100 * (run.before + performance.now() - run.beganAt) / run.work.milliseconds)));
	};

	const hold = async (current, {ackedUpto = 0, untilMs, waitMs = 0}) => {
		extend(current, untilMs);
		forget(current, ackedUpto);
		const deadline = performance.now() + Math.min(longestWaitMilliseconds, waitMs);
		const hasNews = () => current !== boot || current.ended.some(([number]) => number > ackedUpto);
		while (!hasNews() && performance.now() < deadline) {
			// eslint-disable-next-line no-await-in-loop -- Waits for an end.
			await wait(tickMilliseconds);
			advance(current);
		}

		// The answer, too, returns the ends beyond `ackedUpto` only.
		forget(current, ackedUpto);
		return [200, {
			running: [...current.runs.values()].map(run => [run.task, run.run, getSaved(run, false), getPercent(run), run.work.cpu ?? 0]),
			ended: current.ended.slice(0, endsPerAnswer),
		}];
	};

	const handle = async (current, request, body) => {
		if (request.headers['x-target-instance'] !== id) {
			return [421, {}];
		}

		advance(current);
		if ((body.fencingToken ?? 0) < current.fence) {
			return [409, {reason: 'fence'}];
		}

		current.fence = body.fencingToken ?? 0;
		switch (request.url) {
			case '/-/run-start': {
				return start(current, body);
			}

			case '/-/run-stop': {
				return stop(current, body);
			}

			case '/-/hold': {
				return hold(current, body);
			}

			case '/-/pace': {
				return [200, {}];
			}

			default: {
				return [404, {}];
			}
		}
	};

	/** An entry each `heartbeatMs`. */
	const beat = (current, milliseconds) => {
		heartbeatTimer = setTimeout(() => {
			if (current === boot) {
				writeEntry();
				beat(current, bounds.heartbeatMs);
			}
		}, milliseconds);
	};

	/** `entryDelayMilliseconds`: when the first entry of this boot is written. */
	const up = async (entryDelayMilliseconds = 0) => {
		const current = {
			born: Date.now(), startedAt: performance.now(), runs: new Map(), finals: new Map(), ended: [], lastEnd: 0, fence: 0, until: 0,
		};
		boot = current;
		sequence = 0;
		server = createServer(async (request, response) => {
			try {
				const [status, answer] = await handle(current, request, await json(request));
				if (current !== boot) {
					response.destroy();
					return;
				}

				response.writeHead(status, {'content-type': 'application/json'});
				response.end(JSON.stringify({clockMs: clock(current), born: current.born, ...answer}));
			} catch {
				// The caller closed the channel.
				response.destroy();
			}
		});
		address = await listen(server, address === undefined ? 0 : Number(address.split(':')[1]));
		current.timer = setInterval(() => {
			advance(current);
		}, tickMilliseconds);
		beat(current, entryDelayMilliseconds);
		observe({type: 'up', runner: id});
	};

	/** The process ends. The returned function, if it ran, tells the others, so that several runners can end at the same moment. */
	const halt = () => {
		const ended = boot;
		if (!ended) {
			return undefined;
		}

		boot = undefined;
		clearInterval(ended.timer);
		clearTimeout(heartbeatTimer);
		server.closeAllConnections();
		server.close();
		observe({type: 'down', runner: id});
		return () => {
			const runs = [...ended.runs.values()];
			ended.runs.clear();
			for (const run of runs) {
				observe({
					type: 'crashed', runner: id, task: run.task, run: run.run,
				});
			}

			for (const run of runs) {
				leaveGang(run, 'crashed');
			}
		};
	};

	return {
		id,
		up,
		halt,
		/** The process ends at once; nobody is told. */
		down() {
			halt()?.();
		},
		listRuns: () => boot ? [...boot.runs.values()].map(({task, run}) => ({task, run})) : [],
	};
};
