import process from 'node:process';
import test from 'ava';
import {createLauncher, renderEntrySettings} from '../src/index.js';
import type {EntryEndpoints} from '../src/index.js';

const isAlive = (processId: number): boolean => {
	try {
		return process.kill(processId, 0);
	} catch {
		return false;
	}
};

const fetchStatus = async (address: string): Promise<number> => {
	const response = await fetch(`http://${address}/x`);
	await response.text();
	return response.status;
};

// Guards against child processes that outlive the launcher.
test('processes are started, paused, stopped and killed', async t => {
	const launcher = await createLauncher();
	const platform = await launcher.startPlatform();
	const [first, second] = await Promise.all(['wash-1', 'wash-2'].map(async instance => launcher.startUpstream({instance, pool: 'wash', zone: 'zone-a'})));
	await platform.control.setInstance(first!.record);
	t.deepEqual(await platform.control.readInstances(), [first!.record]);
	t.is(await fetchStatus(first!.record.address), 200);
	t.like(await first!.control.readStatistics(), {received: 1, running: 0, maximumRunning: 1});

	first!.pause();
	const delayedStatus = fetchStatus(first!.record.address);
	first!.resume();
	t.is(await delayedStatus, 200);

	t.deepEqual(await first!.stop(), {code: 0, signal: undefined});
	t.deepEqual(await second!.kill(), {code: undefined, signal: 'SIGKILL'});
	await launcher.shutDown();
	t.deepEqual([platform, first!, second!].map(({processId}) => isAlive(processId)), [false, false, false]);
});

// Guards against settings that the daemon rejects or that list an instance as its own peer.
test('settings list the other members and include overrides', t => {
	const place = (index: number): EntryEndpoints => ({
		instance: `entry-${index}`, zone: 'zone-a', host: '127.0.0.9', ports: {callers: index, operations: index + 10, peers: index + 20},
	});
	const text = renderEntrySettings({
		endpoints: place(1), members: [place(1), place(2)], platformUrl: 'http://127.0.0.1:9', overrides: {shutdown: {'bound-seconds': 3}, requests: {'body-limit-bytes': 10}},
	});
	t.true(text.includes('member.entry-2=zone-a,127.0.0.9:22'));
	t.false(text.includes('member.entry-1'));
	t.true(text.includes('bound-seconds=3'));
	t.true(text.includes('balancer-lag-seconds=2'));
	t.true(text.includes('body-limit-bytes=10'));
});
