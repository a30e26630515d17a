/** What one instance has admitted and refused recently, as input of its next decisions. */
import type {JobDeclaration, QueuePolicy} from '@turmericbay/scheduler';
import {computeAllowedMilliseconds, publicWorkspace} from '@turmericbay/scheduler';
import type {AdmissionDecision, JobWork, Refusal} from './admission.js';
import {decideAdmission, estimateJobWork} from './admission.js';
import type {KnownFigures} from './known-figures.js';
import type {Clock} from './ports.js';

/** Older figures decide nothing, so older jobs need not be added to them. */
const retentionMilliseconds = 2000;

export type AdmissionControl = ReturnType<typeof createAdmissionControl>;

export const createAdmissionControl = (options: {
	readonly getFigures: () => KnownFigures | undefined;
	readonly getPolicy: (queue: string) => QueuePolicy | undefined;
	readonly clock: Clock;
	readonly random: () => number;
}) => {
	const {getFigures, getPolicy, clock, random} = options;
	let accepted: Array<JobWork & {readonly at: number}> = [];
	let returning: Array<{readonly pool: string; readonly work: number; readonly returnsAt: number}> = [];
	return {
		getPolicy,
		/** `receivedAt`: when the caller's request arrived. */
		decide(declaration: JobDeclaration, receivedAt: number): AdmissionDecision {
			const now = clock.now();
			const known = getFigures();
			returning = returning.filter(({returnsAt}) => returnsAt > now);
			return decideAdmission({
				declaration, policy: getPolicy(declaration.queue), known, receivedAt, now, random,
				acceptedSince: accepted.filter(({at}) => at > (known?.receivedAt ?? now)),
				getReturningWork(pool) {
					let work = 0;
					for (const entry of returning) {
						work += entry.pool === pool ? entry.work : 0;
					}

					return work;
				},
			});
		},
		recordAccepted(declaration: JobDeclaration): void {
			const policy = getPolicy(declaration.queue);
			const now = clock.now();
			accepted = accepted.filter(({at}) => now - at < retentionMilliseconds);
			if (policy) {
				accepted.push({
					at: now, pool: policy.pool, priority: policy.priority, workspace: declaration.workspace ?? publicWorkspace,
					work: estimateJobWork(declaration, getFigures()?.figures.durations[declaration.queue]),
					deadline: now + computeAllowedMilliseconds(declaration, policy),
				});
			}
		},
		recordRefused({figures, work, retryAfterSeconds}: Refusal): void {
			returning.push({pool: figures.pool, work, returnsAt: clock.now() + (retryAfterSeconds * 1000)});
		},
	};
};
