/**
 * Counts the units of team limits in use. An abandoned run, whose upstream may
 * still be running it although its response is lost, keeps its unit and its slot
 * until `maximumRunMilliseconds` have passed or its upstream process has ended.
 */
import type {RoutingTable, Upstream} from '@turmericbay/routing';
import type {
	GrantPort, Incarnation, InstanceId, TeamName,
} from '@turmericbay/types';

export type RunTracker = {
	start(team: TeamName | undefined): void;
	end(team: TeamName | undefined): void;
	abandon(options: {readonly team: TeamName | undefined; readonly upstream: Upstream; readonly maximumRunMilliseconds: number}): void;
	/** Ends the abandoned runs of upstream processes that have terminated. */
	endRunsOfTerminatedProcesses(options: {readonly isTerminated: (identity: {instance: InstanceId; incarnation: Incarnation}) => boolean}): void;
	countRunning(team: TeamName): number;
	listTeams(): readonly TeamName[];
	/** Stops tracking the abandoned runs without releasing their units. */
	stop(): void;
};

type AbandonedRun = {
	readonly team: TeamName | undefined;
	readonly upstream: Upstream;
	readonly identity: {instance: InstanceId; incarnation: Incarnation};
	readonly timer: NodeJS.Timeout;
};

export const createRunTracker = ({grants, routing, onEnd}: {
	readonly grants: GrantPort;
	readonly routing: RoutingTable;
	readonly onEnd: (team: TeamName | undefined) => void;
}): RunTracker => {
	const running = new Map<TeamName, number>();
	const abandonedRuns = new Set<AbandonedRun>();

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

	const endAbandoned = (run: AbandonedRun): void => {
		clearTimeout(run.timer);
		abandonedRuns.delete(run);
		routing.finishAbandonedRequest({upstream: run.upstream});
		end(run.team);
	};

	return {
		start(team) {
			if (team !== undefined) {
				running.set(team, (running.get(team) ?? 0) + 1);
			}
		},
		end,
		abandon({team, upstream, maximumRunMilliseconds}) {
			const {instance, incarnation} = upstream.record;
			const run: AbandonedRun = {
				team,
				upstream,
				identity: {instance, incarnation},
				timer: setTimeout(() => {
					endAbandoned(run);
				}, maximumRunMilliseconds),
			};
			run.timer.unref();
			abandonedRuns.add(run);
		},
		endRunsOfTerminatedProcesses({isTerminated}) {
			for (const run of abandonedRuns) {
				if (isTerminated(run.identity)) {
					endAbandoned(run);
				}
			}
		},
		countRunning: team => running.get(team) ?? 0,
		listTeams: () => [...running.keys()],
		stop() {
			for (const {timer} of abandonedRuns) {
				clearTimeout(timer);
			}

			abandonedRuns.clear();
		},
	};
};
