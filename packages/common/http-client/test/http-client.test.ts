import test from 'ava';
import {createHttpClient, HttpFailureKind} from '../src/index.js';

// Guards against an owner whose process ends because a registration contains an address that is not a valid one.
test('a call to an invalid address fails without being sent', async t => {
	const client = createHttpClient({connections: 1, connectTimeoutMilliseconds: 100, keepAliveMilliseconds: 1000});
	t.teardown(client.close);
	for (const address of ['999.1.1.1:80', '127.0.0.1:70000']) {
		// eslint-disable-next-line no-await-in-loop -- One call at a time.
		const result = await client.call({
			address, method: 'POST', path: '/', body: '{}', timeoutMilliseconds: 200,
		});
		t.is(result.isErr() ? result.error.kind : undefined, HttpFailureKind.NotSent);
	}
});
