/**
 * TWICE: the machine that holds the jobs is turned away by the store and then stopped. It acknowledges the end of a subtask that it
 * could not store, so the next holder runs the subtask again.
 */
import {runCase} from '../lib/case.mjs';
import {wait, waitFor} from '../lib/tools.mjs';

const rounds = 4;
const workMilliseconds = 1500;
/** The store turns the holder away this long before the subtask ends. */
const leadMilliseconds = 100;
/** SIGTERM comes this long after the subtask has ended. */
const stopMilliseconds = 300;
/** For this long in all the store turns the machine away: 9.0 s are allowed (site file: platform_down, how "nodes"). */
const turnedAwayMilliseconds = 4000;
/** A consumer asks for the state until then. */
const patienceMilliseconds = 14_000;

await runCase(import.meta.dirname, {
	instanceCount: 3,
	services: [{name: 'abholung', count: 6}],
	routes: [{name: 'pickup-quote', prefix: '/pickup/', service: 'abholung'}],
	getWork: () => ({milliseconds: workMilliseconds, cpu: 880, memMb: 1300}),
}, async ({deployment, record, hasTrouble, observe}) => {
	const {store, instances, call} = deployment;
	/** What each subtask has done: ends `done` that were taken note of, and starts after them. */
	const ackedDone = new Map();
	const lapsed = new Set();
	let isBroken = false;
	let running;
	observe(event => {
		if (event.type === 'started') {
			running = event;
			const acked = ackedDone.get(event.task);
			if (acked !== undefined && !lapsed.has(event.task)) {
				isBroken = true;
				record(`BROKEN TWICE: ${event.task} starts as run ${event.run}, though run ${acked} has ended done and its end was taken note of`);
			}
		}

		if (event.type === 'ended' && event.how === 'lapsed') {
			lapsed.add(event.task);
		}

		if (event.type === 'acked' && event.how === 'done') {
			ackedDone.set(event.task, event.run);
		}
	});

	if (!await deployment.isReady()) {
		return 'not-run';
	}

	for (let round = 0; round < rounds; round += 1) {
		/* eslint-disable no-await-in-loop -- Rounds run one after the other. */
		await wait(3000);
		const id = `000000000000a${round.toString().padStart(3, '0')}`;
		running = undefined;
		const accepted = await deployment.submit('pickup-quote', id, {
			spec: 'quote', steps: [{
				count: 1, cpu: 880, memMb: 1300, estimateMs: workMilliseconds,
			}],
		});
		if (!accepted || !await waitFor(() => running !== undefined, 5000)) {
			return 'not-run';
		}

		const holder = deployment.findOwner();
		record(`holder: ${holder?.name}`);
		const endsAt = running.at + workMilliseconds;
		if (hasTrouble) {
			await wait(endsAt - leadMilliseconds - performance.now());
			record(`store: turns ${holder.name} away (503)`);
			holder.link.turnAway(true);
			const servedAgain = wait(turnedAwayMilliseconds).then(() => {
				holder.link.turnAway(false);
				record(`store: serves ${holder.name} again`);
			});
			await wait(endsAt + stopMilliseconds - performance.now());
			holder.signal('SIGTERM');
			await Promise.all([servedAgain, holder.exited()]);
			holder.start();
		}

		const deadline = performance.now() + patienceMilliseconds;
		let state;
		while (state !== 'completed' && performance.now() < deadline) {
			await wait(500);
			const asked = instances.find(instance => instance.isRunning());
			const answer = await call(asked, 'GET', 'pickup-quote', id);
			state = answer.body?.state;
			record(`consumer: GET ${id} at ${asked.name} -> ${answer.status} ${state}`);
		}

		if (state !== 'completed') {
			record(`${id} isn't completed`);
			return 'not-run';
		}

		record(`store holder now: ${store.read('turmericbay/owner')?.instance}`);
		/* eslint-enable no-await-in-loop */
	}

	return isBroken ? 'broken' : 'held';
});
