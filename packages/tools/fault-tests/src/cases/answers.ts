/** Guarantees 5 and 6 against upstreams that misbehave. */
import {
	ResponseClass, planLoad, runLoad, sendRequest,
} from '@turmericbay/demo';
import type {LoadReport, UpstreamProcess} from '@turmericbay/demo';
import {UpstreamFault} from '@turmericbay/fakes';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, checkOwnAnswers, checkRefusals} from '../observations.js';
import {
	createMixedSources, createOnceRequests, describeAnswers, describeCounts, presentedKeys, Queue, standardPlan, Team,
} from '../setup.js';

const durationMilliseconds = 5000;
const ratePerSecond = 40;

const playLoad = async ({fleet, seed}: CaseContext): Promise<LoadReport> => runLoad({
	plan: planLoad({sources: createMixedSources(ratePerSecond), durationMilliseconds, seed}),
	seed,
	listEntryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl),
});

const checkReport = async (context: CaseContext, report: LoadReport): Promise<void> => {
	checkOwnAnswers(context, report.records);
	await checkRefusals(context, report.records);
	const onceKeys = report.records.filter(({planned}) => planned.source.queue === String(Queue.Once)).map(({idempotencyKey}) => idempotencyKey);
	await checkAtMostOnce(context, onceKeys);
	const {broken} = report.counts;
	context.check('no connection of a caller broke', broken === 0, describeCounts(report));
};

type Misbehaviour = {
	readonly name: string;
	readonly guarantee: number;
	readonly seed: number;
	readonly steps: string;
	readonly bound: string;
	/** May return the names of upstreams whose answers must all be dropped. */
	readonly start: (upstreams: readonly [UpstreamProcess, UpstreamProcess, ...UpstreamProcess[]]) => Promise<readonly string[] | void>;
};

const misbehaviours: readonly Misbehaviour[] = [
	{
		name: 'upstream cuts its answers',
		guarantee: 5,
		seed: 5001,
		steps: 'one of six upstreams sends half of each answer and breaks the connection, under mixed load',
		bound: 'no answer is short or foreign',
		start: async ([first]) => first.control.setFault({mode: UpstreamFault.TruncatedResponse}),
	},
	{
		name: 'upstream answers late',
		guarantee: 5,
		seed: 5002,
		steps: 'one upstream answers 6 s late, after the request timed out at 4 s, under mixed load',
		bound: 'no answer reaches another request',
		start: async ([first]) => first.control.setFault({mode: UpstreamFault.Late, delayMilliseconds: 6000}),
	},
	{
		name: 'upstream gives the answers of other requests',
		guarantee: 5,
		seed: 5003,
		steps: 'one upstream answers each request with the answer to the one before, another with a wrong X-Request-Id, under mixed load',
		bound: 'such answers are dropped',
		async start([first, second]) {
			await first.control.setFault({mode: UpstreamFault.PreviousResponse});
			await second.control.setFault({mode: UpstreamFault.WrongRequestId});
			return [first.name, second.name];
		},
	},
	{
		name: 'upstream answers twice',
		guarantee: 5,
		seed: 5005,
		steps: 'two upstreams send each answer again on the same connection, 2 ms and 20 ms later, under mixed load',
		bound: 'the second answer reaches no other request',
		async start([first, second]) {
			await first.control.setFault({mode: UpstreamFault.DuplicateResponse, delayMilliseconds: 2});
			await second.control.setFault({mode: UpstreamFault.DuplicateResponse, delayMilliseconds: 20});
		},
	},
	{
		name: 'upstream refuses and another is killed',
		guarantee: 6,
		seed: 6001,
		steps: 'one upstream answers 503 without running; another is killed after 2 s, under mixed load',
		bound: 'every not-run is true',
		async start([first, second]) {
			await first.control.setFault({mode: UpstreamFault.Refuse});
			setTimeout(() => {
				void second.kill();
			}, 2000);
		},
	},
	{
		name: 'upstream hangs and another fails everything',
		guarantee: 6,
		seed: 6002,
		steps: 'one upstream runs requests and never answers, another answers 500, under mixed load',
		bound: 'every not-run is true',
		async start([first, second]) {
			await first.control.setFault({mode: UpstreamFault.Hang});
			await second.control.setFault({mode: UpstreamFault.Fail});
		},
	},
];

const toCase = ({start, ...description}: Misbehaviour): FaultCase => ({
	...description,
	plan: standardPlan,
	async run(context) {
		const [first, second, ...rest] = context.fleet.upstreams;
		const dropped = await start([first!, second!, ...rest]) ?? [];
		const report = await playLoad(context);
		await checkReport(context, report);
		const passed = report.records.filter(({response: answer}) => answer.type === ResponseClass.Answered && dropped.includes(answer.upstream));
		context.check('wrong answers are dropped', passed.length === 0, `${passed.length} passed on`);
	},
});

const longAnswerBytes = 3_000_000;
const longAnswers = 20;

const cutLongAnswer: FaultCase = {
	name: 'upstream cuts a long answer',
	guarantee: 5,
	seed: 5004,
	steps: 'answers of 3 MB, which are streamed, are cut in the middle by every upstream',
	bound: 'the caller sees the cut: no short answer looks whole',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		await Promise.all(fleet.upstreams.map(async ({control}) => control.setFault({mode: UpstreamFault.TruncatedResponse})));
		const requests = createOnceRequests({count: longAnswers, seed: context.seed, runMilliseconds: 0});
		const answers = await Promise.all(requests.map(async ({idempotencyKey, body}, index) => sendRequest({
			entryUrl: fleet.entries[index % fleet.entries.length]!.callersUrl,
			queue: Queue.Once,
			method: 'POST',
			path: `/long?size=${longAnswerBytes}`,
			presentedKey: presentedKeys[Team.Booking],
			idempotencyKey,
			body,
			timeoutMilliseconds: 4000,
		})));
		const seen = answers.filter(({type}) => type === ResponseClass.Broken || type === ResponseClass.Unknown || type === ResponseClass.NotRun);
		const cut = answers.filter(({type}) => type === ResponseClass.Broken);
		context.check('no cut answer looks whole', seen.length === longAnswers && cut.length > 0, describeAnswers(answers));
	},
};

export const answerCases: readonly FaultCase[] = [...misbehaviours.map(misbehaviour => toCase(misbehaviour)), cutLongAnswer];
