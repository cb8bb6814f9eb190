package burlford.lanes;

import burlford.policy.Aggregator.Rules;
import burlford.policy.Aggregator.Settings;

/**
 * The settings as one lane's module gets them: to it the lanes of all processes are so many coordinators, so that
 * what the rules allow them together (work at a cold server, further attempts) holds for the lanes together.
 */
public final class LaneSettings {

    private LaneSettings() { }

    /** lane: from 0 up to lanes - 1. */
    public static Settings of(Settings s, int lane, int lanes) {
        Rules r = s.rules();
        Rules rules = new Rules(r.drainGrace(), r.slowStartInitialCapacity(), r.slowStartDuration(),
                r.overloadMultiple(), r.overloadWindow(), r.hasBudget(),
                r.budgetBase() / lanes, r.budgetShare(), r.budgetWindow(), r.answerSlack(), r.askEvery());
        return new Settings(s.position() * lanes + lane, s.instances() * lanes, s.zone(), s.watchesList(), s.cells(),
                s.reach(), s.shards(), s.batch(), s.callWork(), s.reportsInAnswers(), s.overShareWorth(),
                s.reportFields(), s.classes(), s.tenants(), rules, s.allowed(), s.prices(), s.clientsMarkRetries());
    }
}
