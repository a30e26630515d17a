/** Runs one case and turns its outcome into the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
import path from 'node:path';
import process from 'node:process';
import {createDeployment} from './deployment.mjs';
import {createRecord} from './tools.mjs';

export const hasTrouble = process.env.TROUBLE !== '0';
const longestMilliseconds = 118_000;
const exitCodes = {held: 0, broken: 1, 'not-run': 2};

/** `play` returns `held`, `broken` or `not-run`. */
export const runCase = async (folder, options, play) => {
	const record = createRecord(path.join(folder, 'record.txt'));
	record(`disruption: ${hasTrouble ? 'yes' : 'no (TROUBLE=0)'}`);
	const observers = [];
	let deployment;
	let outcome = 'not-run';
	const end = async () => {
		await deployment?.close(process.env.KEEP_LOGS === '1');
		record(`outcome: ${outcome}`);
		process.stdout.write(`${outcome}\n`);
		process.exit(exitCodes[outcome]); // eslint-disable-line unicorn/no-process-exit -- A command line program; channels may still be open.
	};

	const timer = setTimeout(() => {
		record('the time is over');
		outcome = 'not-run';
		end();
	}, longestMilliseconds);
	process.on('SIGTERM', () => {
		end();
	});
	process.on('SIGINT', () => {
		end();
	});
	try {
		deployment = await createDeployment({
			...options, record, observe(event) {
				for (const observer of observers) {
					observer(event);
				}
			},
		});
		outcome = await play({
			deployment, record, hasTrouble, observe(observer) {
				observers.push(observer);
			},
		});
	} catch (error) {
		record(`the case could not run: ${error.stack}`);
		outcome = 'not-run';
	}

	clearTimeout(timer);
	await end();
};
