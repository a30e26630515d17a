/** Calls from any instance to the owner: within the process if it is the owner itself, otherwise over HTTP. */
import type {HttpClient} from '@turmericbay/http-client';
import {parseJson} from '@turmericbay/http-client';
import type {JobDeclaration} from '@turmericbay/scheduler';
import {JobState} from '@turmericbay/scheduler';
import {z} from 'zod';
import type {DispatcherRegistration} from './dispatcher-directory.js';
import type {KnownFigures} from './known-figures.js';
import {createFiguresCache} from './known-figures.js';
import {createOwnerBreaker} from './owner-breaker.js';
import type {Owner} from './owner.js';
import type {Clock} from './ports.js';
import type {OwnerRecord} from './records.js';

/** The store is read instead if the owner does not respond within this time. */
const peerTimeoutMilliseconds = 300;
/** A transfer is requested from owners that answer late. */
const transferTimeoutMilliseconds = 2000;
const okStatus = 200;

const stateResponse = z.object({state: z.enum(JobState)});
const pendingResponse = z.object({pending: z.number()});

export type OwnerClient = {
	/** Notifies the owner of a job that was stored at this revision. Only saves time: the owner also watches the store. */
	notifyJobStored(declaration: JobDeclaration, revision: number): void;
	notifyJobCancelled(id: string): void;
	/** Undefined if the owner does not know the job, cannot be reached or has not answered recent calls in time. */
	getJobState(id: string): Promise<JobState | undefined>;
	countPending(queue: string): Promise<number | undefined>;
	/** Offers this instance to the owner as a dispatcher. Valid for a few seconds. */
	registerDispatcher(registration: DispatcherRegistration): void;
	/** The newest load figures, without a call: those of the local owner, else those in the responses to stored jobs. */
	getLoadFigures(): KnownFigures | undefined;
	/** Asks the owner of this epoch to give up the ownership, so that this instance can take over. */
	requestTransfer(epoch: number): void;
};

export const createOwnerClient = (options: {
	readonly client: HttpClient;
	readonly clock: Clock;
	readonly getLocalOwner: () => NonNullable<Owner> | undefined;
	readonly getRemoteOwner: () => OwnerRecord | undefined;
	readonly onFailure: (address: string, message: string) => void;
}): OwnerClient => {
	const {client, clock, getLocalOwner, getRemoteOwner, onFailure} = options;
	const breaker = createOwnerBreaker({now: clock.now});
	const figures = createFiguresCache({now: clock.now});

	const call = async (method: 'GET' | 'POST', path: string, body?: string): Promise<unknown> => {
		const address = getRemoteOwner()?.address;
		if (address === undefined || !breaker.tryAcquire(address)) {
			return undefined;
		}

		const response = await client.call({
			address, method, path, timeoutMilliseconds: peerTimeoutMilliseconds, ...(body !== undefined && {body}),
		});
		breaker.record(address, response.isOk());
		if (response.isErr()) {
			onFailure(address, response.error.message);
			return undefined;
		}

		return response.value.status === okStatus ? parseJson(response.value.text) : undefined;
	};

	return {
		notifyJobStored(declaration, revision) {
			const owner = getLocalOwner();
			if (owner) {
				owner.addJob(declaration, revision);
			} else {
				const sentAt = clock.now();
				const query = `revision=${revision}${figures.takeRequest() ? '&figures=1' : ''}`;
				void call('POST', `/jobs?${query}`, JSON.stringify(declaration)).then(response => {
					figures.record(response, sentAt);
				});
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

			const sentAt = clock.now();
			const response = await call('GET', `/jobs/${id}${figures.takeRefresh() ? '?figures=1' : ''}`);
			figures.record(response, sentAt);
			const parsed = stateResponse.safeParse(response);
			return parsed.success ? parsed.data.state : undefined;
		},
		async countPending(queue) {
			const owner = getLocalOwner();
			if (owner) {
				return owner.countPending(queue);
			}

			const parsed = pendingResponse.safeParse(await call('GET', `/queues/${encodeURIComponent(queue)}/pending`));
			return parsed.success ? parsed.data.pending : undefined;
		},
		registerDispatcher(registration) {
			void call('POST', '/dispatchers', JSON.stringify(registration));
		},
		getLoadFigures: () => figures.newest(getLocalOwner()?.getLoadFigures()),
		requestTransfer(epoch) {
			const address = getRemoteOwner()?.address;
			if (address !== undefined) {
				void client.call({
					address, method: 'POST', path: `/transfers/${epoch}`, body: '{}', timeoutMilliseconds: transferTimeoutMilliseconds,
				}).then(response => {
					if (response.isErr()) {
						onFailure(address, response.error.message);
					}
				});
			}
		},
	};
};
