/**
 * Grant units in use. A run whose connection broke keeps its unit and its slot
 * until it must have ended, because the upstream may go on running it.
 */
import type {RoutingTable, Upstream} from '@turmericbay/routing';
import type {
	GrantPort, Incarnation, InstanceId, TeamName,
} from '@turmericbay/types';

export type RunLedger = {
	start(team: TeamName | undefined): void;
	end(team: TeamName | undefined): void;
	linger(options: {readonly team: TeamName | undefined; readonly upstream: Upstream; readonly maximumRunMilliseconds: number}): void;
	/** Ends the lingering runs of processes that no longer exist. */
	endRunsOf(options: {readonly isGone: (identity: {instance: InstanceId; incarnation: Incarnation}) => boolean}): void;
	running(team: TeamName): number;
	teams(): readonly TeamName[];
	stop(): void;
};

type LingeringRun = {
	readonly team: TeamName | undefined;
	readonly upstream: Upstream;
	readonly identity: {instance: InstanceId; incarnation: Incarnation};
	readonly timer: NodeJS.Timeout;
};

export const createRunLedger = ({grants, routing, onEnd}: {
	readonly grants: GrantPort;
	readonly routing: RoutingTable;
	readonly onEnd: (team: TeamName | undefined) => void;
}): RunLedger => {
	const running = new Map<TeamName, number>();
	const lingering = new Set<LingeringRun>();

	const end = (team: TeamName | undefined): void => {
		if (team !== undefined) {
			const left = (running.get(team) ?? 0) - 1;
			if (left > 0) {
				running.set(team, left);
			} else {
				running.delete(team);
			}

			grants.release({team});
		}

		onEnd(team);
	};

	const endLingering = (run: LingeringRun): void => {
		clearTimeout(run.timer);
		lingering.delete(run);
		routing.endLingering({upstream: run.upstream});
		end(run.team);
	};

	return {
		start(team) {
			if (team !== undefined) {
				running.set(team, (running.get(team) ?? 0) + 1);
			}
		},
		end,
		linger({team, upstream, maximumRunMilliseconds}) {
			const {instance, incarnation} = upstream.record;
			const run: LingeringRun = {
				team,
				upstream,
				identity: {instance, incarnation},
				timer: setTimeout(() => {
					endLingering(run);
				}, maximumRunMilliseconds),
			};
			run.timer.unref();
			lingering.add(run);
		},
		endRunsOf({isGone}) {
			for (const run of lingering) {
				if (isGone(run.identity)) {
					endLingering(run);
				}
			}
		},
		running: team => running.get(team) ?? 0,
		teams: () => [...running.keys()],
		stop() {
			for (const {timer} of lingering) {
				clearTimeout(timer);
			}

			lingering.clear();
		},
	};
};
