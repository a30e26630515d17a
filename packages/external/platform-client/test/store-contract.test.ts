import {
	createFaultInjector, createKeyValueEngine, createMemoryStore, startPlatformServer,
} from '@turmericbay/fakes';
import {createManualClock} from '@turmericbay/types';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {createEtcdKeyValueStore} from '../src/index.js';
import type {StoreUnderTest} from './store-contract.js';
import {storeContract} from './store-contract.js';

const zone = 'zone-a';
const observerZone = 'zone-b';

/** Long enough for the other calls of the test case on a busy machine. */
const shortDeadlineMilliseconds = 3000;
/** Longer than a test may take. */
const longDeadlineMilliseconds = 600_000;

const createMemoryStoreUnderTest = (): StoreUnderTest => {
	const clock = createManualClock();
	const engine = createKeyValueEngine({clock});
	const faults = createFaultInjector();
	const connect = (from: string) => createMemoryStore({engine, faults, zone: from});
	return {
		store: connect(zone), observer: connect(observerZone), faults, clock, zone,
	};
};

const createHttpStoreUnderTest = async (t: ExecutionContext, callTimeoutMilliseconds: number): Promise<StoreUnderTest> => {
	const clock = createManualClock();
	const server = await startPlatformServer({clock});
	const connect = (from: string) => createEtcdKeyValueStore({
		origin: `http://127.0.0.1:${server.port}`, zone: from, instance: `entry-${from}`, callTimeoutMilliseconds,
	});
	const store = connect(zone);
	const observer = connect(observerZone);
	t.teardown(async () => {
		await Promise.all([store.close(), observer.close(), server.close()]);
	});
	return {
		store, observer, faults: server.faults, clock, zone,
	};
};

for (const contractCase of storeContract) {
	test(`memory: ${contractCase.title}`, async t => {
		await contractCase.run(t, createMemoryStoreUnderTest());
	});

	test(`adapter: ${contractCase.title}`, async t => {
		await contractCase.run(t, await createHttpStoreUnderTest(t, contractCase.waitsForDeadline ? shortDeadlineMilliseconds : longDeadlineMilliseconds));
	});
}
