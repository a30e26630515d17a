/** Command `npm run fault-tests`: runs the fault cases and exits with code 1 if a guarantee was violated or a case did not run to completion. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {responseCases} from './cases/responses.js';
import {atMostOnceCases} from './cases/at-most-once.js';
import {configurationCases} from './cases/configuration.js';
import {leavingCases} from './cases/leaving.js';
import {limitCases} from './cases/limits.js';
import {outageCases} from './cases/outage.js';
import {isPassed} from './fault-case.js';
import {renderResult, runCases} from './runner.js';

const {values} = parseArgs({
	options: {
		/** Part of a case's name, or its seed. */
		only: {type: 'string', default: ''},
		parallel: {type: 'string', default: '3'},
	},
});

const allCases = [...atMostOnceCases, ...outageCases, ...responseCases, ...leavingCases, ...configurationCases, ...limitCases];
const cases = allCases.filter(({name, seed}) => name.includes(values.only) || String(seed) === values.only);
const startedAt = performance.now();
const results = await runCases({
	cases,
	parallel: Number(values.parallel),
	onResult(result) {
		process.stdout.write(`${renderResult(result)}\n\n`);
	},
});
const failed = results.filter(result => !isPassed(result));
const seconds = ((performance.now() - startedAt) / 1000).toFixed(0);
process.stdout.write(`${results.length - failed.length} of ${results.length} fault cases passed in ${seconds} s\n`);
for (const {faultCase} of failed) {
	process.stdout.write(`FAILED: guarantee ${faultCase.guarantee}, ${faultCase.name} (seed ${faultCase.seed})\n`);
}

process.exitCode = failed.length === 0 && results.length > 0 ? 0 : 1;
