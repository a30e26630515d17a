/** Tracks gang members across all workers: they start working once all members of a run are present, and end together. */
import {EndReason} from '@turmericbay/scheduler';

export type GangMember = {
	/** Called once all members are present. */
	begin(now: number): void;
	end(reason: EndReason, now: number): void;
};

export type Gangs = ReturnType<typeof createGangs>;

export const createGangs = () => {
	const groups = new Map<string, Map<string, GangMember>>();
	return {
		join(options: {readonly group: string; readonly size: number; readonly task: string; readonly member: GangMember; readonly now: number}): void {
			const {group, size, task, member, now} = options;
			const members = groups.get(group) ?? new Map<string, GangMember>();
			groups.set(group, members);
			members.set(task, member);
			if (members.size === size) {
				for (const present of members.values()) {
					present.begin(now);
				}
			}
		},
		/** Removes a member that has ended; the others end with it. */
		leave(options: {readonly group: string; readonly task: string; readonly reason: EndReason; readonly now: number}): void {
			const {group, task, reason, now} = options;
			const members = groups.get(group);
			if (!members?.delete(task)) {
				return;
			}

			groups.delete(group);
			for (const member of members.values()) {
				member.end(reason === EndReason.Done ? EndReason.Done : EndReason.GangMemberEnded, now);
			}
		},
	};
};
