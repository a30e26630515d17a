/**
 * LOST: one consumer hands in a job that recurs each second and whose first time lies a day back. From then on the machines that hold the
 * jobs end by themselves in turn, and accepted jobs of other consumers are not run.
 */
import {runCase} from '../lib/case.mjs';
import {wait} from '../lib/tools.mjs';

const runnerCount = 6;
const runnerCpu = 16_000;
const sampleMilliseconds = 20;
const intervalMilliseconds = 1000;
const dayMilliseconds = 86_400_000;
const otherJobCount = 30;
const otherIntervalMilliseconds = 600;
/** A job has nothing running for this long, while less than half of the capacity is in use. */
const lostMilliseconds = 3000;
/** Twice `finish_s`. */
const finishMilliseconds = 28_000;
/** A process that ends by itself is started again after a short delay. */
const restartMilliseconds = 500;

await runCase(import.meta.dirname, {
	instanceCount: 3,
	services: [{name: 'abholung', count: runnerCount}],
	routes: [{name: 'pickup-quote', prefix: '/pickup/', service: 'abholung'}],
	getWork: () => ({milliseconds: 640, cpu: 880, memMb: 1300}),
}, async ({deployment, record, hasTrouble, observe}) => {
	const {instances, runners, call} = deployment;
	const started = new Set();
	let ownEnds = 0;
	observe(event => {
		if (event.type === 'started') {
			started.add(event.task.split('.', 1)[0]);
		}
	});
	if (!await deployment.isReady()) {
		return 'not-run';
	}

	for (const instance of instances) {
		instance.onExit = () => {
			ownEnds += 1;
			setTimeout(instance.start, restartMilliseconds);
		};
	}

	const step = {
		count: 1, cpu: 880, memMb: 1300, estimateMs: 640,
	};
	const isAccepted = await deployment.submit('pickup-quote', 'ffffffffffffffff', {
		spec: 'each second', steps: [step], repetitions: 2 * dayMilliseconds / intervalMilliseconds, intervalMs: intervalMilliseconds, startAtMs: Date.now() + (hasTrouble ? -dayMilliseconds : 1000),
	});
	if (!isAccepted) {
		record('the job is refused, as it may be');
		return 'held';
	}

	/** The newest time at which half of the service's capacity was in use. */
	let halfUsedAt = performance.now();
	const sampler = setInterval(() => {
		const running = runners.flatMap(runner => runner.listRuns()).length;
		if (running * step.cpu >= runnerCount * runnerCpu / 2) {
			halfUsedAt = performance.now();
		}
	}, sampleMilliseconds);

	const accepted = [];
	const submitted = [];
	for (let count = 1; count <= otherJobCount; count += 1) {
		/* eslint-disable no-await-in-loop -- One job after the other. */
		await wait(otherIntervalMilliseconds);
		const id = count.toString(16).padStart(16, '0');
		submitted.push(deployment.submit('pickup-quote', id, {spec: 'quote', steps: [step]}).then(isStored => {
			if (isStored) {
				accepted.push(id);
			}
		}));
	}

	await Promise.all(submitted);
	const deadline = performance.now() + finishMilliseconds;
	let open = accepted;
	while (open.length > 0 && performance.now() < deadline) {
		await wait(1000);
		const asked = await Promise.all(open.map(async id => call(instances[Number.parseInt(id, 16) % instances.length], 'GET', 'pickup-quote', id)));
		open = open.filter((_, index) => asked[index].body?.state !== 'completed');
		/* eslint-enable no-await-in-loop */
	}

	clearInterval(sampler);
	for (const instance of instances) {
		instance.onExit = undefined;
	}

	const waiting = open.filter(id => !started.has(id));
	const unusedMilliseconds = performance.now() - halfUsedAt;
	record(`processes that ended by themselves: ${ownEnds}; accepted jobs: ${accepted.length}, not completed ${finishMilliseconds / 1000} s after the last: ${open.length}, of which never started: ${waiting.length}; less than half of the capacity has been in use for ${(unusedMilliseconds / 1000).toFixed(1)} s`);
	const isLost = waiting.length > 0 && unusedMilliseconds > lostMilliseconds;
	if (isLost) {
		record(`BROKEN LOST: ${waiting.join(' ')}`);
	}

	if (ownEnds >= 3) {
		record('BROKEN: processes end by themselves again and again');
	}

	return isLost ? 'broken' : 'held';
});
