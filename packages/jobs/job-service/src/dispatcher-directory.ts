/** The dispatchers that have registered with this owner, their connections, and the route to each worker. Kept in memory only. */
import type {OpenDispatchChannel} from './dispatch-channel.js';
import type {DispatchConnection} from './dispatch-connection.js';
import {openDispatchConnection} from './dispatch-connection.js';
import {chooseDispatcher, computeRequiredCores, selectDispatchers} from './dispatch-selection.js';
import {createZoneLoad} from './dispatch-zone-load.js';
import type {Clock, WorkerTarget} from './ports.js';

/** An instance that has not registered for this time is not used. It registers every second. */
export const registrationValidityMilliseconds = 3000;
/** Interval at which the selection of dispatchers is adapted to the load. */
const reviewIntervalMilliseconds = 1000;
const firstReuseDelayMilliseconds = 1000;
const longestReuseDelayMilliseconds = 8000;
/** After a connection has lasted this long, its loss counts as the first one. */
const stableConnectionMilliseconds = 30_000;

export type DispatcherRegistration = {
	readonly name: string;
	readonly address: string;
	readonly zone: string;
	readonly cores: number;
	/** Start time of the process, Unix milliseconds. */
	readonly startedAt: number;
};

export type DispatcherLog = {
	dispatcherGained(name: string): void;
	dispatcherLost(name: string, reason: string): void;
};

type Entry = {
	registration: DispatcherRegistration;
	registeredAt: number;
	connection: DispatchConnection | undefined;
	openedAt: number;
	isSelected: boolean;
	/** Infinite from a loss until the next registration. */
	usableAt: number;
	losses: number;
};

export type DispatcherDirectory = ReturnType<typeof createDispatcherDirectory>;

export const createDispatcherDirectory = (options: {
	readonly epoch: number;
	/** Name of this instance, which is never its own dispatcher. */
	readonly instance: string;
	readonly openChannel: OpenDispatchChannel;
	readonly clock: Clock;
	/** False while all workers are called directly. */
	readonly isEnabled: () => boolean;
	readonly log: DispatcherLog;
}) => {
	const {epoch, instance, openChannel, clock, isEnabled, log} = options;
	const entries = new Map<string, Entry>();
	/** Chosen connection of each worker; undefined for a direct call. */
	const routes = new Map<string, DispatchConnection | undefined>();
	const zoneLoad = createZoneLoad();
	let isEnded = false;
	let reviewedAt = clock.now();

	const isRegistered = (entry: Entry, now: number): boolean => now - entry.registeredAt < registrationValidityMilliseconds;

	const recordLoss = (entry: Entry, reason: string): void => {
		const wasReady = entry.connection?.wasReady() ?? false;
		entry.connection = undefined;
		entry.usableAt = Number.POSITIVE_INFINITY;
		entry.losses = clock.now() - entry.openedAt >= stableConnectionMilliseconds ? 1 : entry.losses + 1;
		routes.clear();
		log.dispatcherLost(entry.registration.name, wasReady ? reason : `not connected: ${reason}`);
	};

	const open = (entry: Entry): void => {
		entry.openedAt = clock.now();
		const connection = openDispatchConnection({
			address: entry.registration.address, epoch, openChannel, clock,
			onReady() {
				routes.clear();
				log.dispatcherGained(entry.registration.name);
			},
			onLeaving() {
				routes.clear();
			},
			onLost(reason) {
				if (entry.connection === connection) {
					recordLoss(entry, reason);
				}
			},
		});
		entry.connection = connection;
	};

	/** Closes connections that are not needed once their calls are answered. */
	const closeUnused = (now: number): void => {
		for (const [name, entry] of entries) {
			if (entry.connection && !entry.isSelected && entry.connection.pendingCalls() === 0) {
				entry.connection.close();
				entry.connection = undefined;
				log.dispatcherLost(name, isRegistered(entry, now) ? 'not needed' : 'not registered any more');
			} else if (!entry.connection && !isRegistered(entry, now) && now - entry.registeredAt > longestReuseDelayMilliseconds) {
				entries.delete(name);
			}
		}
	};

	const review = (now: number): void => {
		const usable = [...entries.values()].filter(entry => isEnabled() && isRegistered(entry, now) && now >= entry.usableAt);
		const selected = new Set<string>();
		for (const zone of new Set(usable.map(({registration}) => registration.zone))) {
			const candidates = usable.map(({registration}) => registration).filter(registration => registration.zone === zone);
			for (const {name} of selectDispatchers(candidates, computeRequiredCores(zoneLoad.callsPerSecond(zone)))) {
				selected.add(name);
			}
		}

		for (const [name, entry] of entries) {
			if (entry.isSelected !== selected.has(name)) {
				entry.isSelected = selected.has(name);
				routes.clear();
			}

			if (entry.isSelected && !entry.connection) {
				open(entry);
			}
		}

		closeUnused(now);
	};

	const findRoute = (worker: string, zone: string): DispatchConnection | undefined => {
		const ready = [...entries.values()].filter(({registration, isSelected, connection}) => registration.zone === zone && isSelected && connection?.isReady());
		const chosen = chooseDispatcher(worker, ready.map(({registration}) => registration));
		return chosen && entries.get(chosen.name)?.connection;
	};

	return {
		register(registration: DispatcherRegistration): void {
			const {name, startedAt} = registration;
			if (isEnded || name === instance) {
				return;
			}

			const now = clock.now();
			const entry: Entry = entries.get(name) ?? {
				registration, registeredAt: now, connection: undefined, openedAt: 0, isSelected: false, usableAt: Number.NEGATIVE_INFINITY, losses: 0,
			};
			if (startedAt !== entry.registration.startedAt && entry.connection) {
				const {connection} = entry;
				recordLoss(entry, 'the process has restarted');
				connection.close();
			}

			entry.registration = registration;
			entry.registeredAt = now;
			if (entry.usableAt === Number.POSITIVE_INFINITY) {
				entry.usableAt = now + Math.min(longestReuseDelayMilliseconds, firstReuseDelayMilliseconds * (2 ** (entry.losses - 1)));
			}

			const isNew = !entries.has(name);
			entries.set(name, entry);
			if (isNew) {
				review(now);
			}
		},
		/** Counts a call to a worker of the zone. Returns the connection to send it through; undefined for a direct call. */
		route(worker: string, zone: string): DispatchConnection | undefined {
			zoneLoad.recordCall(zone);
			if (!routes.has(worker)) {
				routes.set(worker, isEnabled() ? findRoute(worker, zone) : undefined);
			}

			return routes.get(worker);
		},
		/** Deletes what is kept about a worker that is not called any more. */
		forget(worker: WorkerTarget): void {
			routes.delete(worker.id);
			for (const {connection} of entries.values()) {
				connection?.forget(worker);
			}
		},
		readyDispatchers: (): number => [...entries.values()].filter(({connection}) => connection?.isReady()).length,
		/** Called every `checkIntervalMilliseconds`. */
		check(): void {
			const now = clock.now();
			for (const {connection} of entries.values()) {
				connection?.check(now);
			}

			if (now - reviewedAt >= reviewIntervalMilliseconds) {
				zoneLoad.review(now - reviewedAt);
				reviewedAt = now;
				review(now);
			}
		},
		end(): void {
			isEnded = true;
			for (const {connection} of entries.values()) {
				connection?.close();
			}

			entries.clear();
			routes.clear();
		},
	};
};
