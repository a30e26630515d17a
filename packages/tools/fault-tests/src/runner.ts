/** Runs fault cases, each against its own fleet, and formats their results. */
import {createLauncher, startFleet} from '@turmericbay/demo';
import type {Launcher} from '@turmericbay/demo';
import type {
	CaseContext, CaseResult, Check, FaultCase,
} from './fault-case.js';
import {isPassed} from './fault-case.js';
import {waitUntilServing} from './warm-up.js';

/** Aborts a case that hangs; the longest cases take about half of this time. */
const caseTimeoutMilliseconds = 60_000;

const rejectAfter = async (milliseconds: number, signal: AbortSignal): Promise<never> => new Promise((_resolve, reject) => {
	const timer = setTimeout(() => {
		reject(new Error(`the case did not finish within ${milliseconds} ms`));
	}, milliseconds);
	signal.addEventListener('abort', () => {
		clearTimeout(timer);
	});
});

const runSteps = async (faultCase: FaultCase, launcher: Launcher, check: CaseContext['check']): Promise<void> => {
	const fleet = await startFleet(launcher, faultCase.plan);
	await waitUntilServing(fleet, faultCase.seed);
	await Promise.all(fleet.upstreams.map(async ({control}) => control.reset()));
	await faultCase.run({fleet, seed: faultCase.seed, check});
};

export const runCase = async (faultCase: FaultCase): Promise<CaseResult> => {
	const checks: Check[] = [];
	const startedAt = performance.now();
	const timeoutController = new AbortController();
	const launcher = await createLauncher();
	const check: CaseContext['check'] = (name, isSatisfied, measured) => {
		checks.push({name, isSatisfied, measured});
	};

	let failure: string | undefined;
	try {
		await Promise.race([runSteps(faultCase, launcher, check), rejectAfter(caseTimeoutMilliseconds, timeoutController.signal)]);
	} catch (error) {
		failure = error instanceof Error ? error.message : String(error);
	} finally {
		timeoutController.abort();
		await launcher.shutDown();
	}

	const seconds = (performance.now() - startedAt) / 1000;
	return {
		faultCase, checks, seconds, failure,
	};
};

/** Runs the cases in order, at most `parallel` at a time. */
export const runCases = async (options: {
	readonly cases: readonly FaultCase[];
	readonly parallel: number;
	readonly onResult: (result: CaseResult) => void;
}): Promise<readonly CaseResult[]> => {
	const results: CaseResult[] = [];
	const queue = [...options.cases];
	const runQueuedCases = async (): Promise<void> => {
		for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
			const result = await runCase(next); // eslint-disable-line no-await-in-loop -- One case after the other.
			results.push(result);
			options.onResult(result);
		}
	};

	await Promise.all(Array.from({length: options.parallel}, runQueuedCases));
	return results;
};

const renderCheck = ({name, isSatisfied, measured}: Check): string => `    ${isSatisfied ? 'satisfied' : 'VIOLATED '} ${name}: ${measured}`;

export const renderResult = (result: CaseResult): string => {
	const {faultCase, checks, failure, seconds} = result;
	return [
		`${isPassed(result) ? 'passed' : 'FAILED'}  guarantee ${faultCase.guarantee}  seed ${faultCase.seed}  ${seconds.toFixed(1)} s  ${faultCase.name}`,
		`    steps: ${faultCase.steps}`,
		`    bound: ${faultCase.bound}`,
		...checks.map(check => renderCheck(check)),
		...(failure === undefined ? [] : [`    did not run to completion: ${failure}`]),
	].join('\n');
};
