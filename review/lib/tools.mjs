/** Small helpers of the scripts. */
import {appendFileSync, writeFileSync} from 'node:fs';

export const host = '127.0.0.1';

export const wait = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, Math.max(0, milliseconds));
});

/** Listens on a free port and returns the address. */
export const listen = async (server, port = 0) => {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return `${host}:${server.address().port}`;
};

/** Waits until the condition holds. Returns false if it does not hold in time. */
export const waitFor = async (condition, milliseconds) => {
	const deadline = performance.now() + milliseconds;
	while (!condition()) {
		if (performance.now() > deadline) {
			return false;
		}

		// eslint-disable-next-line no-await-in-loop -- Polls.
		await wait(5);
	}

	return true;
};

/** Writes what was sent, answered and run, with the time since the start in seconds. */
export const createRecord = file => {
	const startedAt = performance.now();
	writeFileSync(file, '');
	return line => {
		appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${line}\n`);
	};
};
