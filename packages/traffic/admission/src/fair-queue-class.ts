/** Adapts the fair queue to p-queue, which accepts a custom queue class. */
import type {Queue, QueueAddOptions} from 'p-queue';
import type {FairQueue} from './fair-queue.js';
import type {QueuedEntry} from './fair-queue.js';

export type RunFunction = () => Promise<unknown>;

export type FairQueueOptions = Pick<QueuedEntry<RunFunction>, 'queue' | 'team' | 'share' | 'urgent'> & QueueAddOptions;

export type FairQueueClass = new() => Queue<RunFunction, FairQueueOptions>;

/** Result of a dequeue that finds no eligible entry; it completes at once and so occupies no slot. */
const doNothing: RunFunction = async () => undefined;

/** P-queue instantiates the class itself, so the queue is passed in and stays accessible to the caller. */
export const createFairQueueClass = (fairQueue: FairQueue<RunFunction>): FairQueueClass =>
	class implements Queue<RunFunction, FairQueueOptions> {
		get size(): number {
			return fairQueue.eligibleLength();
		}

		enqueue(job: RunFunction, options?: Partial<FairQueueOptions>): void {
			const {id, queue, team, share = 1, urgent = false} = options ?? {};
			if (id === undefined || queue === undefined) {
				throw new TypeError('a queued request needs an id and a queue');
			}

			fairQueue.enqueue({
				id, job, queue, team, share, urgent,
			});
		}

		/** `size` may be above zero although no team has a free unit: teams are known to be blocked only after a failed attempt to acquire one. */
		dequeue(): RunFunction | undefined {
			return fairQueue.dequeue()?.job ?? doNothing;
		}

		remove(id: string): void {
			fairQueue.remove({id});
		}

		filter(): RunFunction[] {
			return [];
		}

		setPriority(): void {
			throw new TypeError('setPriority is not supported: the order follows from shares and urgency');
		}
	};
