/**
 * Faults of the platform that can be switched on, for all callers or for those
 * in one availability zone, and for all services or for one of them.
 */
import type {AvailabilityZone} from '@turmericbay/types';

export enum PlatformService {
	KeyValue = 'key-value',
	InstanceList = 'instance-list',
	InstanceControl = 'instance-control',
}

export type PlatformFaults = {
	/** The connection breaks before the call has an effect. */
	readonly down: boolean;
	/** No answer ever comes and the call has no effect, as with dropped packets. */
	readonly cut: boolean;
	readonly delayMilliseconds: number;
	/** Number of calls to come whose connection breaks after they took effect. */
	readonly lostAnswers: number;
};

/** Who is affected; a member left out stands for all. */
export type FaultScope = {readonly zone?: AvailabilityZone; readonly service?: PlatformService};

export type FaultDecision = {
	/** `refuse`: connecting fails. `drop`: the connection breaks. `hang`: no answer. */
	readonly type: 'pass' | 'refuse' | 'drop' | 'hang';
	readonly delayMilliseconds: number;
	readonly isResponseLost: boolean;
};

export type FaultInjector = {
	set(options: {readonly scope?: FaultScope; readonly faults: Partial<PlatformFaults>}): void;
	/** While on, the platform's listener is closed for everybody. */
	refuseConnections(isRefusing: boolean): void;
	isRefusing(): boolean;
	clear(): void;
	/** Decides about one call. Counts down lost answers, which only calls that write consume. */
	decide(options: {readonly zone: AvailabilityZone; readonly service: PlatformService; readonly isWrite: boolean}): FaultDecision;
	/** The effect on a connection that stays open, such as a watch. */
	inspect(options: {readonly zone: AvailabilityZone; readonly service: PlatformService}): FaultDecision['type'];
	subscribe(listener: () => void): void;
};

type MutableFaults = {-readonly [Name in keyof PlatformFaults]: PlatformFaults[Name]};

const noFaults: PlatformFaults = {
	down: false, cut: false, delayMilliseconds: 0, lostAnswers: 0,
};

const isCovered = (scope: FaultScope, caller: Required<FaultScope>): boolean =>
	(scope.zone === undefined || scope.zone === caller.zone) && (scope.service === undefined || scope.service === caller.service);

export const createFaultInjector = (): FaultInjector => {
	const settings = new Map<string, {readonly scope: FaultScope; readonly faults: MutableFaults}>();
	const listeners: Array<() => void> = [];
	let isRefusing = false;

	const notify = (): void => {
		for (const listener of listeners) {
			listener();
		}
	};

	const findFaults = (caller: Required<FaultScope>): MutableFaults[] =>
		[...settings.values()].filter(({scope}) => isCovered(scope, caller)).map(({faults}) => faults);

	const inspect: FaultInjector['inspect'] = ({zone, service}) => {
		const faults = findFaults({zone, service});
		if (isRefusing) {
			return 'refuse';
		}

		if (faults.some(({cut}) => cut)) {
			return 'hang';
		}

		return faults.some(({down}) => down) ? 'drop' : 'pass';
	};

	const takeLostAnswer = (caller: Required<FaultScope>): boolean => {
		const found = findFaults(caller).find(({lostAnswers}) => lostAnswers > 0);
		if (found !== undefined) {
			found.lostAnswers--;
		}

		return found !== undefined;
	};

	return {
		set({scope = {}, faults}) {
			const name = `${scope.zone ?? ''}/${scope.service ?? ''}`;
			settings.set(name, {scope, faults: {...noFaults, ...settings.get(name)?.faults, ...faults}});
			notify();
		},
		refuseConnections(value) {
			isRefusing = value;
			notify();
		},
		isRefusing: () => isRefusing,
		clear() {
			settings.clear();
			isRefusing = false;
			notify();
		},
		decide({zone, service, isWrite}) {
			const type = inspect({zone, service});
			return {
				type,
				delayMilliseconds: Math.max(0, ...findFaults({zone, service}).map(faults => faults.delayMilliseconds)),
				isResponseLost: isWrite && type === 'pass' && takeLostAnswer({zone, service}),
			};
		},
		inspect,
		subscribe(listener) {
			listeners.push(listener);
		},
	};
};
