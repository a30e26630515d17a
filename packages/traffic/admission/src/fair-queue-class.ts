/** Plugs the fair queue into p-queue, which takes its order from a queue class. */
import type {Queue, QueueAddOptions} from 'p-queue';
import type {FairQueue} from './fair-queue.js';
import type {QueuedEntry} from './fair-queue.js';

export type RunFunction = () => Promise<unknown>;

export type FairQueueOptions = Pick<QueuedEntry<RunFunction>, 'queue' | 'team' | 'share' | 'urgent'> & QueueAddOptions;

export type FairQueueClass = new() => Queue<RunFunction, FairQueueOptions>;

/** Does nothing; p-queue counts a started function itself, so this one takes no slot. */
const doNothing: RunFunction = async () => undefined;

/** The class that p-queue instantiates once; `fairQueue` stays accessible to the caller. */
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

		/** All teams may turn out to lack a unit although the size was above zero: then nothing starts. */
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
			throw new TypeError('the order follows from shares and urgency');
		}
	};
