/** Command `npm run soak`: runs seeds one after the other and prints those that violated a guarantee. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSoak} from './soak.js';

const usage = 'Usage: npm run soak -- [--from SEED] [--seeds N] [--faults N]\n';
const usageExitCode = 64;

const parseOptions = () => {
	try {
		const {values} = parseArgs({options: {from: {type: 'string', default: '1'}, seeds: {type: 'string', default: '3'}, faults: {type: 'string', default: '6'}}});
		const [from, seeds, faults] = [values.from, values.seeds, values.faults].map(Number);
		if ([from, seeds, faults].every(value => Number.isSafeInteger(value))) {
			return {from: from!, seeds: seeds!, faults: faults!};
		}
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	}

	process.stderr.write(usage);
	process.exit(usageExitCode); // eslint-disable-line unicorn/no-process-exit -- Command line program.
};

const {from, seeds, faults} = parseOptions();
let failedSeeds = 0;
for (let seed = from; seed < from + seeds; seed += 1) {
	// eslint-disable-next-line no-await-in-loop -- One seed at a time limits the load on the machine.
	const report = await runSoak({seed, faults});
	const {isPassed} = report;
	failedSeeds += isPassed ? 0 : 1;
	process.stdout.write(`seed ${seed}: ${report.sent} sent, ${report.accepted} accepted, ${report.ended} ended, ${report.starts} starts, ${isPassed ? 'passed' : 'FAILED'}\n`);
	if (!isPassed) {
		process.stdout.write(`${JSON.stringify({
			violations: report.violations.slice(0, 5), unfinished: report.unfinished, exits: report.unexpectedExits, faults: report.faults, logs: report.logFolder,
		}, undefined, '\t')}\n`);
	}
}

process.stdout.write(`${seeds - failedSeeds} passed, ${failedSeeds} failed\n`);
process.exitCode = failedSeeds === 0 ? 0 : 1;
