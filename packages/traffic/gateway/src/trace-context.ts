/** W3C Trace Context (https://www.w3.org/TR/trace-context/), version 00. */
import type {RandomSource} from '@turmericbay/types';
import type {GatewayTelemetry, TraceContext} from './ports.js';

const traceparentPattern = /^00-(?<traceId>[\da-f]{32})-(?<spanId>[\da-f]{16})-(?<flags>[\da-f]{2})$/v;
const allZero = /^0+$/v;
const sampledFlag = 1;
const traceIdDigits = 32;
const spanIdDigits = 16;

export const parseTraceparent = (traceparent: string | undefined, traceState: string | undefined): TraceContext | undefined => {
	const groups = traceparentPattern.exec(traceparent ?? '')?.groups;
	const {traceId = '', spanId = '', flags = ''} = groups ?? {};
	if (groups === undefined || allZero.test(traceId) || allZero.test(spanId)) {
		return undefined;
	}

	const sampled = Number.parseInt(flags, 16) % 2 === sampledFlag;
	return traceState === undefined
		? {traceId, spanId, sampled}
		: {
			traceId, spanId, sampled, traceState,
		};
};

export const formatTraceparent = ({traceId, spanId, sampled}: TraceContext): string =>
	`00-${traceId}-${spanId}-${sampled ? '01' : '00'}`;

const createRandomHex = (random: RandomSource, digits: number): string => {
	let text = '';
	while (text.length < digits) {
		text += Math.floor(random() * 0x1_00_00_00_00).toString(16).padStart(8, '0');
	}

	return text;
};

/** Propagates trace contexts without recording anything. */
export const createNoopTelemetry = ({random}: {readonly random: RandomSource}): GatewayTelemetry => ({
	startSpan: ({parent}) => ({
		context: {
			...parent,
			traceId: parent?.traceId ?? createRandomHex(random, traceIdDigits),
			spanId: createRandomHex(random, spanIdDigits),
			sampled: parent?.sampled ?? false,
		},
		end: () => undefined,
	}),
	onEvent: () => undefined,
});
