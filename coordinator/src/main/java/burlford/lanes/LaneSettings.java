package burlford.lanes;

import burlford.policy.Aggregator.Rules;
import burlford.policy.Aggregator.Settings;

/**
 * Derives the settings of one lane's decision module. The module sees every lane of every process as a coordinator of
 * its own, so that limits shared by all coordinators (work at a cold server, further attempts) are divided among the
 * lanes and hold for all of them together.
 */
public final class LaneSettings {

    private LaneSettings() { }

    /**
     * Returns the settings for one lane.
     *
     * @param lane from 0 to lanes - 1
     * @param lanes number of lanes in this process
     */
    public static Settings of(Settings settings, int lane, int lanes) {
        Rules shared = settings.rules();
        Rules rules = new Rules(shared.drainGrace(), shared.slowStartInitialCapacity(), shared.slowStartDuration(),
                shared.overloadMultiple(), shared.overloadWindow(), shared.hasBudget(), shared.budgetBase() / lanes,
                shared.budgetShare(), shared.budgetWindow(), shared.answerSlack(), shared.askEvery());
        return new Settings(settings.position() * lanes + lane, settings.instances() * lanes, settings.zone(),
                settings.watchesList(), settings.cells(), settings.reach(), settings.shards(), settings.batch(),
                settings.callWork(), settings.reportsInAnswers(), settings.overShareWorth(), settings.reportFields(),
                settings.classes(), settings.tenants(), rules, settings.allowed(), settings.prices(),
                settings.clientsMarkRetries());
    }
}
