/** A simulated runner: the protocol of PROTOCOL.md ("Running subtasks", with `orders` = "invoke") over the worker model. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {createGangs, createWorkerModel} from '../../packages/jobs/worker-model/dist/src/index.js';
import {startLink} from './link.mjs';

const pollMilliseconds = 10;
const advanceMilliseconds = 10;
const reasons = new Map([['fenced', 'fence'], ['superseded', 'old'], ['late', 'late'], ['room', 'room']]);

const readJson = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/**
 * `createWork(task)` tells what a run does. `measure(running)` returns the fifth entry of each row of `running`, by the task's name; without it 0.
 * `interceptPace(call)` returns the delay in milliseconds of an order on pace that is carried out late and gets no response, else undefined.
 * `isTicketValid(call)` is asked for each start.
 * `uptimeMilliseconds` is the age of the first process. `hasLink` puts a link in front of the runner, which `runner.link` can cut.
 * `onEvent(event, runner)` is called for each event of the worker model.
 */
export const startRunner = async options => {
	const {
		id, host, record, service, kind = 'a', rack = `rack-${id}`, capacity, enforcesCapacity = true, stopMilliseconds = 900, leaseMilliseconds = 6000, paceMilliseconds = 100,
		coldMilliseconds = 0, coldAnswerMilliseconds = 0, uptimeMilliseconds = 0, hasLink = false, createWork, measure, interceptPace, isTicketValid = () => true, onEvent = () => undefined,
	} = options;
	const now = () => performance.now();
	const resources = {cpuMillis: capacity.cpu, memoryMegabytes: capacity.memMb, accelerators: capacity.gpu};
	/** Running tasks with their pace in percent. */
	const paces = new Map();
	let isUp = true;
	/** A runner that has started again is slow for a while. */
	let coldUntil = 0;
	let model;
	const runner = {
		id,
		paces,
		/** What the runner writes to the store about itself; undefined while it is down. */
		describe: () => isUp
			? {
				born: model.incarnation, service, address: `${host}:${runner.link?.port ?? server.address().port}`, zone: 'south', version: '1', slots: 8, state: 'ready', coldRemainingMs: Math.max(0, Math.round(coldUntil - now())), seq: Math.round(now()),
				capacity, labels: [kind, rack],
			}
			: undefined,
		/** The process crashes: all that it runs is gone, and nothing is reported. It starts again under the same id. */
		async crash(downMilliseconds) {
			record(`runner ${id} crashes`);
			isUp = false;
			model.crash(now());
			paces.clear();
			server.closeAllConnections();
			const {port} = server.address();
			await new Promise(resolve => {
				server.close(resolve);
			});
			await new Promise(resolve => {
				setTimeout(resolve, downMilliseconds);
			});
			model = createModel();
			server = createHttpServer();
			await listen(port);
			isUp = true;
			coldUntil = now() + coldMilliseconds;
			record(`runner ${id} is up again, born ${model.incarnation}`);
		},
	};

	const createModel = (uptime = 0) => createWorkerModel({
		incarnation: Date.now(), capacity: resources, enforcesCapacity, startedAt: now() - uptime, clockRate: 1, stopDurationMilliseconds: stopMilliseconds, gangTimeoutMilliseconds: 3000,
		checkpointIntervalMilliseconds: 500, restoreCostMilliseconds: 600, maximumLeaseMilliseconds: leaseMilliseconds, gangs: createGangs(), createWork,
		onEvent(event, at) {
			if (event.type === 'started') {
				paces.set(event.task, 100);
			}

			if (event.type === 'ended') {
				paces.delete(event.task);
			}

			if (event.task !== undefined) {
				record(`runner ${id}: ${event.type} ${event.task} run ${event.run}${event.reason === undefined ? '' : ` ${event.reason}`}`);
			}

			onEvent(event, runner, at);
		},
	});

	const throttle = body => {
		if (!model.throttle({
			task: body.task, run: body.run, percent: body.percent, fencingToken: body.fencingToken,
		}, now())) {
			return false;
		}

		const current = model;
		setTimeout(() => {
			if (model === current && paces.has(body.task)) {
				paces.set(body.task, body.percent);
				record(`runner ${id}: ${body.task} works at ${body.percent} percent`);
			}
		}, paceMilliseconds);
		return true;
	};

	const hold = async body => {
		const current = model;
		const heartbeat = {fencingToken: body.fencingToken, acknowledgedSequence: body.ackedUpto ?? 0, leaseExpiresAt: body.untilMs};
		let report = model.heartbeat(heartbeat, now());
		const deadline = now() + (body.waitMs ?? 0);
		// eslint-disable-next-line no-unmodified-loop-condition -- A crash replaces the model.
		while (report && model === current && now() < deadline && !model.hasUnacknowledgedEnds(body.ackedUpto ?? 0)) {
			// eslint-disable-next-line no-await-in-loop -- Waits for an end.
			await new Promise(resolve => {
				setTimeout(resolve, pollMilliseconds);
			});
			model.advance(now());
		}

		report &&= model === current ? model.heartbeat({...heartbeat, leaseExpiresAt: undefined}, now()) : undefined;
		if (!report) {
			return [409, {reason: 'fence'}];
		}

		const figures = measure?.(runner) ?? new Map();
		return [200, {
			running: report.running.map(entry => [entry.task, entry.run, entry.checkpoint, entry.percent, figures.get(entry.task) ?? 0]),
			ended: report.ended.map(entry => [entry.sequence, entry.task, entry.run, entry.reason, entry.checkpoint]),
		}];
	};

	/** Undefined: no response. */
	const handle = async (url, body) => {
		switch (url) {
			case '/-/run-start': {
				if (!isTicketValid(body)) {
					return [409, {reason: 'ticket'}];
				}

				const outcome = model.start({
					task: body.task, run: body.run, fencingToken: body.fencingToken, checkpoint: body.checkpoint ?? '', leaseExpiresAt: body.untilMs,
				}, now());
				return outcome === 'started' ? [200, {}] : [409, {reason: reasons.get(outcome)}];
			}

			case '/-/run-stop': {
				record(`runner ${id}: told to stop ${body.task} run ${body.run}`);
				return model.stop({task: body.task, run: body.run, fencingToken: body.fencingToken}, now()) ? [200, {}] : [409, {reason: 'fence'}];
			}

			case '/-/pace': {
				const delay = interceptPace?.(body);
				if (delay === undefined) {
					record(`runner ${id}: told to pace ${body.task} at ${body.percent} percent`);
					return throttle(body) ? [200, {}] : [409, {reason: 'fence'}];
				}

				record(`runner ${id}: told to pace ${body.task} at ${body.percent} percent; no response, carried out ${delay} ms later`);
				setTimeout(() => {
					record(`runner ${id}: the late order to pace ${body.task} at ${body.percent} percent is carried out: ${throttle(body)}`);
				}, delay);
				return undefined;
			}

			case '/-/hold': {
				return hold(body);
			}

			default: {
				return [404, {}];
			}
		}
	};

	const createHttpServer = () => createServer((request, response) => {
		const answer = async () => {
			const body = await readJson(request);
			const current = model;
			const outcome = request.headers['x-target-instance'] === id ? await handle(request.url, body) : [421, {}];
			if (outcome === undefined) {
				return;
			}

			if (model !== current || !isUp) {
				response.destroy();
				return;
			}

			if (now() < coldUntil) {
				await new Promise(resolve => {
					setTimeout(resolve, coldAnswerMilliseconds);
				});
			}

			const [status, content] = outcome;
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify({clockMs: model.readClock(now()), born: model.incarnation, ...content}));
		};

		answer().catch(() => {
			response.destroy();
		});
	});

	let server = createHttpServer();
	const listen = async port => {
		await new Promise((resolve, reject) => {
			server.on('error', reject);
			server.listen(port, host, resolve);
		});
	};

	model = createModel(uptimeMilliseconds);
	await listen(0);
	runner.link = hasLink ? await startLink({host, targetPort: server.address().port}) : undefined;
	setInterval(() => {
		if (isUp) {
			model.advance(now());
		}
	}, advanceMilliseconds).unref();
	return runner;
};
