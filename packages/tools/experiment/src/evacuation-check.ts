/** Checks from outside that no task starts in a zone once its evacuation has to be in force (rule ZONE). */
import type {Violation} from '@turmericbay/worker-model';

export type EvacuationCheck = ReturnType<typeof createEvacuationCheck>;

export const createEvacuationCheck = (options: {readonly limitMilliseconds: number}) => {
	const violations: Violation[] = [];
	/** When the store acknowledged the request to evacuate each zone. */
	const requestedAt = new Map<string, number>();
	let startsElsewhere = 0;

	return {
		violations,
		/** Starts in other zones while an evacuation was in force. */
		countStartsElsewhere: () => startsElsewhere,
		recordRequest(zone: string, now: number): void {
			requestedAt.set(zone, now);
		},
		recordCancellation(zone: string): void {
			requestedAt.delete(zone);
		},
		recordStart({task, zone, now}: {readonly task: string; readonly zone: string; readonly now: number}): void {
			const since = requestedAt.get(zone);
			if (since !== undefined && now > since + options.limitMilliseconds) {
				violations.push({rule: 'ZONE', at: Math.round(now), what: `${task} started in ${zone} ${Math.round(now - since)} ms after the evacuation`});
			} else if (since === undefined && requestedAt.size > 0) {
				startsElsewhere += 1;
			}
		},
	};
};
