import test from 'ava';
import {createSession, parseSession, sessionKey} from '../src/index.js';
import {
	createProcess, createSimulatedStore, createSimulation, createStoreClient, noStoreFaults,
} from './support/index.js';

const identity = {instance: 'e1', incarnation: 'i1'};

const createFixture = async () => {
	const simulation = createSimulation(1);
	const process = createProcess(simulation);
	const store = createSimulatedStore(simulation);
	const client = createStoreClient({simulation, process, store});
	const session = createSession({store: client, clock: simulation.clock, identity});
	process.repeat(500, () => {
		session.tick();
	});
	await simulation.run(1000);
	const isKeyStored = () => {
		store.expire();
		return store.entries.has(sessionKey('e1'));
	};

	return {
		simulation, process, store, client, session, isAlive: isKeyStored,
	};
};

// Guards against a session that is not stored, or that expires while its process runs normally.
test('one renewal every 3 s keeps a session valid', async t => {
	const {simulation, store, client, session, isAlive} = await createFixture();
	t.is(parseSession(store.entries.get(sessionKey('e1'))!.value)?.session, session.sessionId());
	const before = client.calls;
	await simulation.run(60_000);
	t.true(isAlive());
	t.true(client.calls - before <= 20);
});

// Guards against granting claims from memory while another process still reads a valid session and relies on the stored records.
test('the expiry is certain only after the store has removed the key', async t => {
	for (const faults of [{requestLost: 1}, {answerLost: 1}, {appliedLate: 1}, {refused: 1}]) {
		// eslint-disable-next-line no-await-in-loop -- sequential cases keep a failure readable
		const {simulation, client, session, isAlive} = await createFixture();
		client.faults = {...noStoreFaults, ...faults};
		for (let step = 0; step < 200; step += 1) {
			// eslint-disable-next-line no-await-in-loop -- the state is checked after each step
			await simulation.run(100);
			t.false(session.isLeaseCertainlyExpired() && isAlive(), `${JSON.stringify(faults)} at step ${step}`);
		}

		t.true(session.isLeaseCertainlyExpired());
	}
});

// Guards against an unnoticed expiry, after which the stored records would wrongly count as complete.
test('a new lease has another session id', async t => {
	const {simulation, client, session} = await createFixture();
	const before = session.sessionId();
	client.reachable = false;
	await simulation.run(15_000);
	t.is(session.sessionId(), undefined);
	client.reachable = true;
	await simulation.run(5000);
	t.not(session.sessionId(), undefined);
	t.not(session.sessionId(), before);
});
