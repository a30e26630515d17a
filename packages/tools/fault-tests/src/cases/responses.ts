/** Upstreams that truncate, delay, mix up or refuse responses. Guarantee 5: every response belongs to its request; guarantee 6: every not-run is true. */
import {
	ResponseClass, planLoad, runLoad, sendRequest,
} from '@turmericbay/demo';
import type {LoadReport, UpstreamProcess} from '@turmericbay/demo';
import {UpstreamFault} from '@turmericbay/fakes';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, checkNoMismatchedResponses, checkNotRunResponses} from '../observations.js';
import {
	createMixedSources, createNonRepeatableRequests, describeResponses, describeReport, presentedKeys, Queue, standardPlan, Team,
} from '../setup.js';

const durationMilliseconds = 5000;
const ratePerSecond = 40;

const runMixedLoad = async ({fleet, seed}: CaseContext): Promise<LoadReport> => runLoad({
	plan: planLoad({sources: createMixedSources(ratePerSecond), durationMilliseconds, seed}),
	seed,
	listEntryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl),
});

const checkReport = async (context: CaseContext, report: LoadReport): Promise<void> => {
	checkNoMismatchedResponses(context, report.records);
	await checkNotRunResponses(context, report.records);
	const nonRepeatableKeys = report.records.filter(({planned}) => planned.source.queue === String(Queue.NonRepeatable)).map(({idempotencyKey}) => idempotencyKey);
	await checkAtMostOnce(context, nonRepeatableKeys);
	const {broken} = report.counts;
	context.check('no response is incomplete', broken === 0, describeReport(report));
};

type UpstreamFaultCase = {
	readonly name: string;
	readonly guarantee: number;
	readonly seed: number;
	readonly steps: string;
	readonly bound: string;
	/** May return the names of upstreams whose responses must never be forwarded. */
	readonly injectFaults: (upstreams: readonly [UpstreamProcess, UpstreamProcess, ...UpstreamProcess[]]) => Promise<readonly string[] | void>;
};

const upstreamFaultCases: readonly UpstreamFaultCase[] = [
	{
		name: 'upstream truncates its responses',
		guarantee: 5,
		seed: 5001,
		steps: 'one of six upstreams sends half of each response and closes the connection, under mixed load',
		bound: 'no response is truncated or belongs to another request',
		injectFaults: async ([first]) => first.control.setFault({mode: UpstreamFault.TruncatedResponse}),
	},
	{
		name: 'upstream responds after the request timed out',
		guarantee: 5,
		seed: 5002,
		steps: 'one upstream responds after 6 s, when the request has timed out at 4 s, under mixed load',
		bound: 'no response reaches another request',
		injectFaults: async ([first]) => first.control.setFault({mode: UpstreamFault.Late, delayMilliseconds: 6000}),
	},
	{
		name: 'upstream sends responses of other requests',
		guarantee: 5,
		seed: 5003,
		steps: 'one upstream sends for each request the response to the previous one, another sends a wrong X-Request-Id, under mixed load',
		bound: 'such responses are discarded',
		async injectFaults([first, second]) {
			await first.control.setFault({mode: UpstreamFault.PreviousResponse});
			await second.control.setFault({mode: UpstreamFault.WrongRequestId});
			return [first.name, second.name];
		},
	},
	{
		name: 'upstream sends each response twice',
		guarantee: 5,
		seed: 5005,
		steps: 'two upstreams send each response again on the same connection, 2 ms and 20 ms later, under mixed load',
		bound: 'the duplicate response reaches no other request',
		async injectFaults([first, second]) {
			await first.control.setFault({mode: UpstreamFault.DuplicateResponse, delayMilliseconds: 2});
			await second.control.setFault({mode: UpstreamFault.DuplicateResponse, delayMilliseconds: 20});
		},
	},
	{
		name: 'upstream rejects requests and another is killed',
		guarantee: 6,
		seed: 6001,
		steps: 'one upstream responds 503 without running the request; another is killed after 2 s, under mixed load',
		bound: 'every not-run is true',
		async injectFaults([first, second]) {
			await first.control.setFault({mode: UpstreamFault.Refuse});
			setTimeout(() => {
				void second.kill();
			}, 2000);
		},
	},
	{
		name: 'upstream never responds and another fails every request',
		guarantee: 6,
		seed: 6002,
		steps: 'one upstream runs requests and never responds, another responds 500, under mixed load',
		bound: 'every not-run is true',
		async injectFaults([first, second]) {
			await first.control.setFault({mode: UpstreamFault.Hang});
			await second.control.setFault({mode: UpstreamFault.Fail});
		},
	},
];

const toCase = ({injectFaults, ...description}: UpstreamFaultCase): FaultCase => ({
	...description,
	plan: standardPlan,
	async run(context) {
		const [first, second, ...rest] = context.fleet.upstreams;
		const mismatchingUpstreams = await injectFaults([first!, second!, ...rest]) ?? [];
		const report = await runMixedLoad(context);
		await checkReport(context, report);
		const forwarded = report.records.filter(({response}) => response.type === ResponseClass.Answered && mismatchingUpstreams.includes(response.upstream));
		context.check('mismatched responses are discarded', forwarded.length === 0, `${forwarded.length} forwarded`);
	},
});

const streamedResponseBytes = 3_000_000;
const streamedRequests = 20;

const truncatedStream: FaultCase = {
	name: 'upstream truncates a streamed response',
	guarantee: 5,
	seed: 5004,
	steps: 'every upstream closes the connection in the middle of 3 MB responses, which are streamed',
	bound: 'callers detect the truncation: no truncated response looks complete',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		await Promise.all(fleet.upstreams.map(async ({control}) => control.setFault({mode: UpstreamFault.TruncatedResponse})));
		const requests = createNonRepeatableRequests({count: streamedRequests, seed: context.seed, runMilliseconds: 0});
		const responses = await Promise.all(requests.map(async ({idempotencyKey, body}, index) => sendRequest({
			entryUrl: fleet.entries[index % fleet.entries.length]!.callersUrl,
			queue: Queue.NonRepeatable,
			method: 'POST',
			path: `/long?size=${streamedResponseBytes}`,
			presentedKey: presentedKeys[Team.Booking],
			idempotencyKey,
			body,
			timeoutMilliseconds: 4000,
		})));
		const incomplete = responses.filter(({type}) => type === ResponseClass.Broken || type === ResponseClass.Unknown || type === ResponseClass.NotRun);
		const broken = responses.filter(({type}) => type === ResponseClass.Broken);
		context.check('no truncated response looks complete', incomplete.length === streamedRequests && broken.length > 0, describeResponses(responses));
	},
};

export const responseCases: readonly FaultCase[] = [...upstreamFaultCases.map(misbehaviour => toCase(misbehaviour)), truncatedStream];
