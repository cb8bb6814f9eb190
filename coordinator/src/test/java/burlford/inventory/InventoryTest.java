package burlford.inventory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlford.core.ReaderEntry;
import burlford.policy.Aggregator.Status;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class InventoryTest {

    private static final String YAML = """
            all:
              vars: {zone: hall, ansible_port: 5000, rack: "7"}
              children:
                north:
                  vars: {cell: 0, rack: 8}
                  hosts:
                    r1: {ansible_host: 10.0.0.1}
                  children:
                    north_spare:
                      hosts:
                        r2: {ansible_host: 10.0.0.2, status: draining, size: 1.5}
                south:
                  hosts:
                    r3: {ansible_host: 10.0.0.3, cell: 1, rack: ""}
            """;

    @Test
    void innermostGroupOverridesVariables() throws Exception {
        Inventory inventory = Inventory.parse(YAML, false, 2);
        assertThat(inventory.readerEntries()).containsExactly(
                new ReaderEntry("r1", "10.0.0.1", 5000, "hall", 0, Status.READY, 1, 0),
                new ReaderEntry("r2", "10.0.0.2", 5000, "hall", 0, Status.DRAINING, 1.5, 0),
                new ReaderEntry("r3", "10.0.0.3", 5000, "hall", 1, Status.READY, 1, 0));
        assertThat(inventory.hosts()).extracting(h -> h.group() + " " + h.variables().get("rack"))
                .containsExactly("north 8", "north_spare 8", "south null");
    }

    @Test
    void csvAndYamlRoundTrip() throws Exception {
        Inventory inventory = Inventory.parse(YAML, false, 2);
        assertThat(Inventory.parse(inventory.format(false), false, 2)).isEqualTo(inventory);
        assertThat(Inventory.parse(inventory.format(true), true, 2)).isEqualTo(inventory);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "r1,10.0.0.1,1,0;r1,10.0.0.2,1,0 | line 3: duplicate id r1, first on line 2",
        "r1,10.0.0.1,1,0;;r2,10.0.0.1,1,0 | line 4: host r2 has the address of the host on line 2",
        "r1,ten,1,0 | line 2: host r1 has a bad address: ansible_host ten",
        "r1,10.0.0.1,0,0 | line 2: host r1 has a bad ansible_port (1 to 65535): 0",
        "r1,10.0.0.1,1,0;r2,10.0.0.2,1,-1 | line 3: host r2 has a bad cell (0 to 1): -1",
        "r1,10.0.0.1,1, | line 2: host r1 has a bad cell (0 to 1): null",
        "r1,10.0.0.1 | line 2: 2 values under 4 columns"})
    void csvErrorsNameTheirLine(String rows, String message) {
        String text = "id,ansible_host,ansible_port,cell\n" + rows.replace(';', '\n') + "\n";
        assertThatThrownBy(() -> Inventory.parse(text, true, 2)).isInstanceOf(Inventory.InvalidInventoryException.class)
                .hasMessage(message);
    }

    @Test
    void yamlErrorsNameTheirLine() {
        assertThatThrownBy(() -> Inventory.parse(YAML.replace("r3:", "r1:"), false, 2))
                .hasMessage("line 14: duplicate id r1, first on line 7");
        assertThatThrownBy(() -> Inventory.parse(YAML.replace("cell: 1", "cell: x"), false, 2))
                .hasMessage("line 14: host r3 has a bad cell (0 to 1): x");
        assertThatThrownBy(() -> Inventory.parse(YAML.replace("{cell: 0, rack: 8}", "[cell]"), false, 2))
                .hasMessage("line 5: a list where a mapping or a word belongs");
        assertThatThrownBy(() -> Inventory.parse("all: {hosts: {r1: {ansible_host: ", false, 2))
                .isInstanceOf(Inventory.InvalidInventoryException.class).hasMessageStartingWith("line ");
    }

    @Test
    void csvRequiresAHeaderWithAllColumns() throws IOException {
        assertThatThrownBy(() -> Inventory.parse("id,ansible_host,cell\n", true, 2))
                .hasMessage("line 1: the header lacks the column ansible_port");
        assertThatThrownBy(() -> Inventory.parse("", true, 2)).hasMessage("line 1: there is no header row");
    }

    /** Guards against ids that cannot be written to the store, nor told apart in a file. */
    @Test
    void halvesOfSurrogatePairsAreRejected() {
        assertThatThrownBy(() -> Inventory.parse(YAML.replace("r1:", "\"r\\uD800\":"), false, 2))
                .isInstanceOf(Inventory.InvalidInventoryException.class).hasMessageContaining("line 7: ");
        assertThatThrownBy(() -> Inventory.parse(YAML.replace("zone: hall", "zone: \"\\uDC00\""), false, 2))
                .isInstanceOf(Inventory.InvalidInventoryException.class).hasMessageContaining("surrogate");
    }
}
