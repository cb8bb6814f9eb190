package burlford.play;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.jar.Attributes;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Collectors;

/** A folder with a jar at the place where {@code deploy/serve} expects it, which stands for the classes under test. */
final class DeployedJar {

    private static final Path JAR = Path.of("coordinator", "target", "burlford.jar");
    private static Path folder;

    private DeployedJar() { }

    /** The folder to run {@code deploy/serve} in; the same for all tests of a run. */
    static synchronized Path folder() throws IOException {
        if (folder == null) {
            folder = Files.createTempDirectory("burlford-deployed");
            write(folder.resolve(JAR));
        }
        return folder;
    }

    private static void write(Path jar) throws IOException {
        Files.createDirectories(jar.getParent());
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, "burlford.Main");
        manifest.getMainAttributes().put(Attributes.Name.CLASS_PATH, classPath());
        try (OutputStream file = Files.newOutputStream(jar);
                JarOutputStream empty = new JarOutputStream(file, manifest)) {
            empty.finish();
        }
    }

    private static String classPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .map(entry -> Path.of(entry).toAbsolutePath().toUri().toString())
                .collect(Collectors.joining(" "));
    }
}
