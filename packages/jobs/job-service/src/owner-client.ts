/** The way from any instance to the owner: a call inside the process, or over the peer listener. */
import type {HttpClient} from '@turmericbay/http-client';
import {parseJson} from '@turmericbay/http-client';
import type {JobDeclaration} from '@turmericbay/scheduler';
import {JobState} from '@turmericbay/scheduler';
import {z} from 'zod';
import type {Owner} from './owner.js';
import type {OwnerRecord} from './records.js';

/** The store is asked instead when the owner does not answer in this time. */
const peerTimeoutMilliseconds = 300;
const okStatus = 200;

const stateResponse = z.object({state: z.enum(JobState)});
const pendingResponse = z.object({pending: z.number()});

export type OwnerClient = {
	/** Tells the owner of a job that was stored at this revision; the owner also finds it in the store. */
	notifyJobStored(declaration: JobDeclaration, revision: number): void;
	notifyJobCancelled(id: string): void;
	/** Undefined if the owner does not know the job or cannot be asked. */
	getJobState(id: string): Promise<JobState | undefined>;
	countPending(queue: string): Promise<number | undefined>;
};

export const createOwnerClient = (options: {
	readonly client: HttpClient;
	readonly getLocalOwner: () => NonNullable<Owner> | undefined;
	readonly getRemoteOwner: () => OwnerRecord | undefined;
	readonly onFailure: (address: string, message: string) => void;
}): OwnerClient => {
	const {client, getLocalOwner, getRemoteOwner, onFailure} = options;

	const call = async (method: 'GET' | 'POST', path: string, body?: string): Promise<unknown> => {
		const address = getRemoteOwner()?.address;
		if (address === undefined) {
			return undefined;
		}

		const answer = await client.call({
			address, method, path, timeoutMilliseconds: peerTimeoutMilliseconds, ...(body !== undefined && {body}),
		});
		if (answer.isErr()) {
			onFailure(address, answer.error.message);
			return undefined;
		}

		return answer.value.status === okStatus ? parseJson(answer.value.text) : undefined;
	};

	return {
		notifyJobStored(declaration, revision) {
			const owner = getLocalOwner();
			if (owner) {
				owner.addJob(declaration, revision);
			} else {
				void call('POST', `/jobs?revision=${revision}`, JSON.stringify(declaration));
			}
		},
		notifyJobCancelled(id) {
			const owner = getLocalOwner();
			if (owner) {
				owner.cancel(id);
			} else {
				void call('POST', `/cancellations/${id}`, '{}');
			}
		},
		async getJobState(id) {
			const owner = getLocalOwner();
			if (owner) {
				return owner.getJobState(id);
			}

			const answer = stateResponse.safeParse(await call('GET', `/jobs/${id}`));
			return answer.success ? answer.data.state : undefined;
		},
		async countPending(queue) {
			const owner = getLocalOwner();
			if (owner) {
				return owner.countPending(queue);
			}

			const answer = pendingResponse.safeParse(await call('GET', `/queues/${encodeURIComponent(queue)}/pending`));
			return answer.success ? answer.data.pending : undefined;
		},
	};
};
