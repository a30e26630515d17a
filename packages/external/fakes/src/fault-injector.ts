/**
 * Fault injection for the platform: for all callers or for those in one
 * availability zone, and for all services or for one of them.
 */
import type {AvailabilityZone} from '@turmericbay/types';

export enum PlatformService {
	KeyValue = 'key-value',
	InstanceList = 'instance-list',
	InstanceControl = 'instance-control',
}

export type PlatformFaults = {
	/** The connection is closed before the call takes effect. */
	readonly down: boolean;
	/** The call gets no response and has no effect, as with dropped packets. */
	readonly cut: boolean;
	readonly delayMilliseconds: number;
	/** Number of following writes whose connection is closed after they took effect, without a response. */
	readonly lostAnswers: number;
};

/** The affected calls; a field that is left out matches all. */
export type FaultScope = {readonly zone?: AvailabilityZone; readonly service?: PlatformService};

export type FaultDecision = {
	/** `pass`: no fault. `refuse`: connecting fails. `drop`: the connection is closed. `hang`: no response. */
	readonly type: 'pass' | 'refuse' | 'drop' | 'hang';
	readonly delayMilliseconds: number;
	readonly isResponseLost: boolean;
};

export type FaultInjector = {
	set(options: {readonly scope?: FaultScope; readonly faults: Partial<PlatformFaults>}): void;
	/** While true, the platform's listener is closed for all callers. */
	refuseConnections(isRefusing: boolean): void;
	isRefusing(): boolean;
	clear(): void;
	/** Decides which faults apply to one call. Decrements `lostAnswers` for writes only. */
	decide(options: {readonly zone: AvailabilityZone; readonly service: PlatformService; readonly isWrite: boolean}): FaultDecision;
	/** The fault for a long-lived connection, such as a watch. */
	inspect(options: {readonly zone: AvailabilityZone; readonly service: PlatformService}): FaultDecision['type'];
	subscribe(listener: () => void): void;
};

type MutableFaults = {-readonly [Name in keyof PlatformFaults]: PlatformFaults[Name]};

const noFaults: PlatformFaults = {
	down: false, cut: false, delayMilliseconds: 0, lostAnswers: 0,
};

const isInScope = (scope: FaultScope, caller: Required<FaultScope>): boolean =>
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
		[...settings.values()].filter(({scope}) => isInScope(scope, caller)).map(({faults}) => faults);

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

	const consumeLostResponse = (caller: Required<FaultScope>): boolean => {
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
				isResponseLost: isWrite && type === 'pass' && consumeLostResponse({zone, service}),
			};
		},
		inspect,
		subscribe(listener) {
			listeners.push(listener);
		},
	};
};
